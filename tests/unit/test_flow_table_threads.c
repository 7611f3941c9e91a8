#include <CUnit/Basic.h>
#include <pthread.h>
#include <talloc.h>

#include "kumquat/flow_table.h"
#include "kumquat/random.h"
#include "unit.h"

#define THREADS 4
#define STEPS   20000
#define FLOWS   1000

typedef struct
{
  KqFlowTable *table;
  unsigned number;
  unsigned mismatches;
} Worker;

/* The owner repeats the flow's port in its id and address, so that a torn or mixed entry is
 * detected. */
static void *
run_worker (void *data)
{
  Worker *worker = data;
  KqRandom random;
  kq_random_seed (&random, worker->number);
  for (unsigned step = 0; step < STEPS; step++)
    {
      unsigned port = 1 + (unsigned)kq_random_below (&random, FLOWS);
      KqFlowKey key = { .service = 1, .caller.port = (uint16_t)port };
      KqPeer owner = { .id = port, .incarnation = 1, .data.port = (uint16_t)port };
      KqPeer found;
      switch (kq_random_below (&random, 4))
        {
        case 0:
          kq_flow_table_store (worker->table, &key, &owner, step);
          break;
        case 1:
          kq_flow_table_remove (worker->table, &key, &owner);
          break;
        case 2:
          kq_flow_table_expire (worker->table, step);
          break;
        default:
          if (kq_flow_table_lookup (worker->table, &key, step, &found))
            worker->mismatches += found.id != port || found.data.port != port;
        }
    }
  return NULL;
}

static void
test_threads_share_the_table (void)
{
  KqFlowTable *table = kq_flow_table_new (NULL, 2 * FLOWS, 4, KQ_SECOND);
  pthread_t threads[THREADS];
  Worker workers[THREADS];
  for (unsigned i = 0; i < THREADS; i++)
    {
      workers[i] = (Worker){ .table = table, .number = i };
      CU_ASSERT_FATAL (pthread_create (&threads[i], NULL, run_worker, &workers[i]) == 0);
    }
  for (unsigned i = 0; i < THREADS; i++)
    {
      pthread_join (threads[i], NULL);
      CU_ASSERT (workers[i].mismatches == 0);
    }
  CU_ASSERT (kq_flow_table_stats (table).hits > 0);
  talloc_free (table);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "threads share the table", test_threads_share_the_table },
  };
  return kq_unit_run ("flow table threads", tests, sizeof tests / sizeof tests[0]);
}
