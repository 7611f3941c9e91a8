#include <CUnit/Basic.h>

#include "kumquat/panic.h"
#include "unit.h"

/**
 * struct Case - counts per failure domain and the expected decision
 */
typedef struct
{
  const char *name;
  KqDomainCounts domains[4];
  bool use_suspects;
  bool use_dead;
  unsigned silent_domains;
} Case;

static const Case cases[] = {
  { "all alive", { { 3, 0, 0 }, { 3, 0, 0 }, { 3, 0, 0 }, { 3, 0, 0 } }, false, false, 0 },
  { "one dead", { { 2, 0, 1 }, { 3, 0, 0 }, { 3, 0, 0 }, { 3, 0, 0 } }, false, false, 0 },
  { "one suspect", { { 2, 1, 0 }, { 3, 0, 0 }, { 3, 0, 0 }, { 3, 0, 0 } }, false, false, 0 },
  { "exactly half alive", { { 2, 0, 2 }, { 2, 0, 2 }, { 0 }, { 0 } }, false, false, 0 },
  { "most suspect", { { 1, 2, 0 }, { 1, 2, 0 }, { 1, 2, 0 }, { 1, 2, 0 } }, true, false, 0 },
  { "most dead", { { 1, 0, 2 }, { 1, 0, 2 }, { 1, 0, 2 }, { 1, 0, 2 } }, true, true, 0 },
  { "one domain silent", { { 0, 0, 3 }, { 3, 0, 0 }, { 3, 0, 0 }, { 3, 0, 0 } }, false, false, 1 },
  { "a large domain silent", { { 0, 0, 9 }, { 1, 0, 0 }, { 1, 0, 0 }, { 0 } }, false, false, 1 },
  { "half the domains silent",
    { { 0, 0, 3 }, { 0, 0, 3 }, { 3, 0, 0 }, { 3, 0, 0 } },
    true,
    true,
    2 },
  { "all silent", { { 0, 0, 3 }, { 0, 0, 3 }, { 0, 0, 3 }, { 0, 0, 3 } }, true, true, 4 },
  { "a single domain, dead", { { 0, 0, 3 }, { 0 }, { 0 }, { 0 } }, true, true, 1 },
  { "no target", { { 0 }, { 0 }, { 0 }, { 0 } }, false, false, 0 },
  { "one silent, the rest mostly dead",
    { { 0, 0, 3 }, { 1, 0, 2 }, { 1, 0, 2 }, { 1, 0, 2 } },
    true,
    true,
    1 },
};

static void
test_cases (void)
{
  for (unsigned i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      KqPanic panic = kq_panic_decide (cases[i].domains, 4, KQ_PANIC_PERMILLE);
      bool good = panic.use_suspects == cases[i].use_suspects &&
                  panic.use_dead == cases[i].use_dead &&
                  panic.silent_domains == cases[i].silent_domains;
      if (!good)
        printf ("\ncase failed: %s\n", cases[i].name);
      CU_ASSERT (good);
    }
}

static void
test_threshold_decides (void)
{
  const KqDomainCounts domain = { 6, 0, 4 };
  CU_ASSERT (!kq_panic_decide (&domain, 1, 600).use_dead);
  CU_ASSERT (kq_panic_decide (&domain, 1, 601).use_dead);
  CU_ASSERT (!kq_panic_decide (&domain, 1, 0).use_dead);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "table of cases", test_cases },
    { "the threshold decides", test_threshold_decides },
  };
  return kq_unit_run ("panic", tests, sizeof tests / sizeof tests[0]);
}
