#include <CUnit/Basic.h>
#include <talloc.h>

#include "kumquat/burn_history.h"
#include "unit.h"

#define HOUR (3600 * KQ_SECOND)

static KqBurnCounts
counts_at (uint64_t seconds)
{
  /* Ten requests per second; after hour 100, one in ten is bad. */
  KqBurnCounts counts = { .total = seconds * 10, .good = seconds * 10, .worth = seconds * 20 };
  if (seconds > 360000)
    counts.good -= seconds - 360000;
  return counts;
}

static void
sample_every_five_seconds (KqBurnHistory *burn, uint64_t from, uint64_t to)
{
  for (uint64_t second = from; second <= to; second += 5)
    {
      KqBurnCounts counts = counts_at (second);
      kq_burn_sample (burn, &counts, (KqTime)second * KQ_SECOND);
    }
}

static void
test_window_longer_than_history_reports_time_covered (void)
{
  KqTime covered;
  KqBurnHistory *burn = kq_burn_new (NULL, 0);
  sample_every_five_seconds (burn, 5, 60);
  KqBurnCounts counts = kq_burn_counts (burn, KQ_BURN_1_HOUR, &covered);
  CU_ASSERT (covered == 60 * KQ_SECOND && counts.total == 600 && counts.good == 600);
  talloc_free (burn);
}

static void
test_windows_exclude_older_samples (void)
{
  KqTime covered;
  KqBurnHistory *burn = kq_burn_new (NULL, 0);
  sample_every_five_seconds (burn, 5, 360000 + 600);
  KqBurnCounts counts = kq_burn_counts (burn, KQ_BURN_5_MINUTES, &covered);
  CU_ASSERT (covered == 300 * KQ_SECOND && counts.total == 3000 && counts.good == 2700);
  counts = kq_burn_counts (burn, KQ_BURN_1_HOUR, &covered);
  CU_ASSERT (covered == HOUR && counts.total == 36000 && counts.good == 36000 - 600);
  counts = kq_burn_counts (burn, KQ_BURN_3_DAYS, &covered);
  CU_ASSERT (covered == 72 * HOUR && counts.total >= 2592000 && counts.total <= 2592000 + 3000);
  CU_ASSERT (counts.worth == 2 * counts.total);
  talloc_free (burn);
}

static void
test_counting_continues_after_a_reset (void)
{
  KqTime covered;
  KqBurnCounts first = { .total = 100, .good = 90, .worth = 7 };
  KqBurnCounts second = { .total = 10, .good = 10, .worth = 1 };
  KqBurnHistory *burn = kq_burn_new (NULL, 0);
  kq_burn_sample (burn, &first, 5 * KQ_SECOND);
  kq_burn_sample (burn, &second, 10 * KQ_SECOND);
  KqBurnCounts counts = kq_burn_counts (burn, KQ_BURN_5_MINUTES, &covered);
  CU_ASSERT (counts.total == 110 && counts.good == 100 && counts.worth == 8);
  talloc_free (burn);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "a window longer than the history reports the time covered",
      test_window_longer_than_history_reports_time_covered },
    { "windows exclude older samples", test_windows_exclude_older_samples },
    { "counting continues after a counter reset", test_counting_continues_after_a_reset },
  };
  return kq_unit_run ("burn", tests, sizeof tests / sizeof tests[0]);
}
