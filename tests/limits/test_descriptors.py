"""Tests of the descriptors that callers may use."""

import resource

import testtools

from celerystack.limits import descriptors


class DescriptorsTest(testtools.TestCase):
    def test_callers_stay_under_three_quarters(self):
        """Guards against callers that leave no descriptor for servers and files."""
        for available in (210, 300, 400, 1024, 20_000, 65_536):
            callers = descriptors.caller_connections_max(available)
            self.assertLessEqual(callers + descriptors.RESERVED_DESCRIPTORS, available)
            self.assertLess(callers, available * 3 // 4)

    def test_few_descriptors_still_permit_a_connection(self):
        """Guards against a process that accepts nothing."""
        self.assertEqual(1, descriptors.caller_connections_max(100))

    def test_system_limit_counts_if_it_is_lower(self):
        """Guards against a setting above what the system permits."""
        system_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.assertEqual(system_limit, descriptors.process_limit(None))
        self.assertEqual(system_limit, descriptors.process_limit(system_limit + 1))
        self.assertEqual(100, descriptors.process_limit(100))
