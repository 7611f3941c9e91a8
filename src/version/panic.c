#include "kumquat/panic.h"

KqPanic
kq_panic_decide (const KqDomainCounts *domains, unsigned count, unsigned threshold_permille)
{
  KqPanic panic = { 0 };
  uint64_t alive = 0;
  uint64_t suspect = 0;
  uint64_t dead = 0;
  unsigned populated = 0;
  for (unsigned i = 0; i < count; i++)
    {
      const KqDomainCounts *domain = &domains[i];
      if (domain->alive + domain->suspect + domain->dead == 0)
        continue;
      populated++;
      if (domain->alive + domain->suspect == 0)
        {
          panic.silent_domains++;
          continue;
        }
      alive += domain->alive;
      suspect += domain->suspect;
      dead += domain->dead;
    }
  uint64_t total = alive + suspect + dead;
  bool isolated = 2 * panic.silent_domains >= populated && panic.silent_domains > 0;
  panic.use_suspects = isolated || alive * 1000 < total * threshold_permille;
  panic.use_dead = isolated || (alive + suspect) * 1000 < total * threshold_permille;
  return panic;
}
