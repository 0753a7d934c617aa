"""Guards against soak runs that a seed does not reproduce, or whose faults never overlap."""

import itertools

import testtools

from soak import schedule


class ScheduleTest(testtools.TestCase):
    def test_seed_decides_everything(self):
        self.assertEqual(
            schedule.generate(5, fault_window_s=30), schedule.generate(5, fault_window_s=30)
        )
        self.assertNotEqual(
            schedule.generate(5, fault_window_s=30), schedule.generate(6, fault_window_s=30)
        )

    def test_faults_overlap(self):
        events = schedule.generate(5, fault_window_s=60)
        overlapping = [
            first for first, second in itertools.pairwise(events) if second.start_s < first.end_s
        ]
        self.assertGreater(len(overlapping), 5)

    def test_all_faults_occur(self):
        seen = {
            event.fault
            for seed in range(20)
            for event in schedule.generate(seed, fault_window_s=30)
        }
        self.assertEqual(set(schedule.Fault), seen)

    def test_faults_end_with_the_run(self):
        for seed in range(20):
            self.assertLessEqual(
                max(e.end_s for e in schedule.generate(seed, fault_window_s=30)), 30
            )
