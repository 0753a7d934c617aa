"""Guards against runs that cannot be repeated, or that strike one thing at a time."""

import itertools

import testtools

from soak import schedule


class ScheduleTest(testtools.TestCase):
    def test_seed_decides_everything(self):
        self.assertEqual(schedule.draw(5, length_s=30), schedule.draw(5, length_s=30))
        self.assertNotEqual(schedule.draw(5, length_s=30), schedule.draw(6, length_s=30))

    def test_faults_overlap(self):
        events = schedule.draw(5, length_s=60)
        overlapping = [
            first for first, second in itertools.pairwise(events) if second.at < first.until
        ]
        self.assertGreater(len(overlapping), 5)

    def test_all_faults_occur(self):
        seen = {event.fault for seed in range(20) for event in schedule.draw(seed, length_s=30)}
        self.assertEqual(set(schedule.Fault), seen)

    def test_faults_end_with_the_run(self):
        for seed in range(20):
            self.assertLessEqual(max(e.until for e in schedule.draw(seed, length_s=30)), 30)
