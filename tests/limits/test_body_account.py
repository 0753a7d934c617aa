"""Tests of the account of bytes that are held for callers."""

import testtools

from celerystack.limits import body_account

MB = 1_000_000
SMALL = body_account.SMALL_BODY_BYTES_MAX
Part = body_account.Part


def account(memory=160 * MB, body=8 * MB, **changes):
    limits = body_account.limits_for(memory, body_bytes_max=body, **changes)
    return body_account.ByteAccount(limits)


class ByteAccountTest(testtools.TestCase):
    def test_part_has_its_own_limit(self):
        """Guards against one kind of bytes that uses the whole memory."""
        held = account()
        largest = int(0.85 * 56 * MB)
        self.assertTrue(held.try_hold(Part.LARGE, largest))
        self.assertFalse(held.try_hold(Part.LARGE, 1))
        self.assertEqual(largest, held.used_by_part[Part.LARGE])

    def test_parts_share_a_limit(self):
        """Guards against parts that stay within their limits and together exceed the memory."""
        held = account()
        self.assertTrue(held.try_hold(Part.LARGE, 40 * MB))
        self.assertTrue(held.try_hold(Part.ANSWERS, 32 * MB))
        self.assertFalse(held.try_hold(Part.UNSENT, 24 * MB))

    def test_small_bodies_find_room_beside_all_others(self):
        """Guards against small requests that are rejected because of large ones."""
        held = account()
        for part in (Part.LARGE, Part.UNSENT, Part.ANSWERS, Part.CONNECTIONS):
            held.hold(part, 100 * MB)
        self.assertTrue(held.try_hold(Part.SMALL, 8 * MB))
        self.assertFalse(held.try_hold(Part.SMALL, 1))

    def test_largest_body_fits_into_a_small_machine(self):
        """Guards against a permitted body that never finds room."""
        held = account(body=64 * MB)
        self.assertTrue(held.try_hold(Part.LARGE, 64 * MB))
        self.assertFalse(held.try_hold(Part.LARGE, 1))

    def test_larger_machine_holds_several_of_the_largest_bodies(self):
        """Guards against callers within the limits that are rejected although there is memory."""
        held = account(memory=300 * MB, body=67_108_864)
        self.assertTrue(held.try_hold(Part.LARGE, 2 * 67_108_864))

    def test_all_parts_together_fit_into_the_machine(self):
        """Guards against limits that exceed the memory in sum."""
        for memory in (160 * MB, 200 * MB, 300 * MB):
            limits = body_account.limits_for(memory, body_bytes_max=8 * MB)
            reserved = sum(limit.reserved_bytes for limit in limits.limit_by_part.values())
            self.assertLess(limits.shared_bytes + reserved + 42 * MB, memory)

    def test_answers_find_room_beside_the_largest_body(self):
        """Guards against a body whose own answer finds no room."""
        held = account(body=64 * MB)
        held.hold(Part.LARGE, 64 * MB)
        self.assertTrue(held.try_hold(Part.ANSWERS, 16 * MB))

    def test_new_limits_apply_to_what_is_held(self):
        """Guards against a changed configuration that has no effect."""
        held = account(body=64 * MB)
        held.hold(Part.LARGE, 64 * MB)
        held.set_limits(body_account.limits_for(160 * MB, body_bytes_max=MB))
        self.assertTrue(held.is_over(Part.LARGE))


class BodyHoldTest(testtools.TestCase):
    def test_body_moves_from_small_to_large(self):
        """Guards against a body that is counted twice or in the wrong part."""
        held = account()
        hold = body_account.BodyHold(held)
        self.assertTrue(hold.try_grow(SMALL))
        self.assertEqual((SMALL, 0), (held.used_by_part[Part.SMALL], held.open_large_bodies))
        self.assertTrue(hold.try_grow(SMALL + 1))
        self.assertEqual(0, held.used_by_part[Part.SMALL])
        self.assertEqual(SMALL + 1, held.used_by_part[Part.LARGE])
        self.assertEqual(1, held.open_large_bodies)

    def test_refused_growth_changes_nothing(self):
        """Guards against bytes that stay counted after a refusal."""
        held = account()
        hold = body_account.BodyHold(held)
        hold.try_grow(SMALL)
        self.assertFalse(hold.try_grow(48 * MB))
        self.assertEqual(SMALL, held.used_by_part[Part.SMALL])
        self.assertEqual(0, held.used_by_part[Part.LARGE])
        hold.release()
        self.assertEqual(0, held.open_large_bodies)

    def test_open_large_bodies_are_limited(self):
        """Guards against more large bodies in receipt than permitted."""
        held = account(open_large_bodies_max=2)
        holds = [body_account.BodyHold(held) for _ in range(3)]
        self.assertEqual([True, True, False], [hold.try_grow(SMALL + 1) for hold in holds])
        holds[0].complete(SMALL + 1)
        self.assertTrue(holds[2].try_grow(SMALL + 1))

    def test_complete_body_is_held_at_its_size(self):
        """Guards against a step of a chunked body that stays counted until the answer."""
        held = account()
        hold = body_account.BodyHold(held)
        hold.try_grow(2 * MB)
        hold.complete(MB)
        self.assertEqual(MB, held.used_by_part[Part.LARGE])

    def test_release_is_idempotent(self):
        """Guards against bytes that are returned twice when a request ends in two ways."""
        held = account()
        hold = body_account.BodyHold(held)
        hold.try_grow(2 * MB)
        hold.release()
        hold.release()
        self.assertEqual((0, 0), (held.used_by_part[Part.LARGE], held.open_large_bodies))


class AnswerBudgetTest(testtools.TestCase):
    def test_answers_count_in_the_account(self):
        """Guards against answers in receipt that the account does not see."""
        held = account()
        budget = body_account.AnswerBudget(held)
        self.assertTrue(budget.try_reserve(32 * MB))
        self.assertFalse(budget.try_reserve(1))
        self.assertEqual(32 * MB, budget.used_bytes)
        budget.release(32 * MB)
        self.assertEqual(0, held.used_by_part[Part.ANSWERS])
