#include <talloc.h>
#include <xxhash.h>

#include "kumquat/internal/caller_count.h"

#define ROWS    2
#define COLUMNS 512

struct KqCallerCount
{
  uint32_t cells[ROWS][COLUMNS];
};

KqCallerCount *
kq_caller_count_new (const void *parent)
{
  return talloc_zero (parent, KqCallerCount);
}

static unsigned
column (const KqAddress *caller, unsigned row)
{
  return (unsigned)(XXH3_64bits_withSeed (caller->ip, sizeof caller->ip, row + 1) % COLUMNS);
}

void
kq_caller_count_add (KqCallerCount *count, const KqAddress *caller, int change)
{
  for (unsigned row = 0; row < ROWS; row++)
    count->cells[row][column (caller, row)] += (uint32_t)change;
}

unsigned
kq_caller_count_get (const KqCallerCount *count, const KqAddress *caller)
{
  unsigned least = UINT32_MAX;
  for (unsigned row = 0; row < ROWS; row++)
    {
      unsigned cell = count->cells[row][column (caller, row)];
      least = cell < least ? cell : least;
    }
  return least;
}

size_t
kq_caller_count_bytes (void)
{
  return sizeof (KqCallerCount);
}
