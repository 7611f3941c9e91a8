/* Simulates load on the admission control of one target and checks the outcome for callers. */

#include <CUnit/Basic.h>
#include <talloc.h>

#include "kumquat/internal/admission.h"
#include "kumquat/random.h"
#include "unit.h"

#define SLOTS        5
#define SERVICE_US   (40 * KQ_MS)
#define OBJECTIVE_MS 200
#define TIMEOUT_MS   1200
#define REQUESTS     4000
#define SEED         7

/**
 * struct Request - one request of a caller
 * @done_at: time of its answer; 0 while there is none
 * @refused: it was refused
 */
typedef struct
{
  KqAdmissionEntry entry;
  KqTime done_at;
  bool refused;
} Request;

/* Simulated target that serves SLOTS requests concurrently and queues the additional ones, which
 * the admission control opens early, in FIFO order. */
typedef struct
{
  KqAdmission admission;
  Request requests[REQUESTS];
  KqTime free_at[SLOTS]; /* time at which each slot is free */
  Request *running[SLOTS + SLOTS];
  unsigned running_count;
  KqRandom random;
  bool fifo;
} World;

static void
begin (World *world, Request *request, KqTime now)
{
  KqTime spread = (KqTime)kq_random_below (&world->random, SERVICE_US);
  KqTime *slot = &world->free_at[0];
  for (unsigned i = 1; i < SLOTS; i++)
    if (world->free_at[i] < *slot)
      slot = &world->free_at[i];
  kq_admission_begin (&world->admission);
  *slot = (*slot > now ? *slot : now) + SERVICE_US / 2 + spread;
  request->done_at = *slot;
  world->running[world->running_count++] = request;
}

static void
end_done (World *world, KqTime now)
{
  for (unsigned i = 0; i < world->running_count;)
    {
      if (world->running[i]->done_at > now)
        {
          i++;
          continue;
        }
      world->running[i] = world->running[--world->running_count];
      kq_admission_end (&world->admission, SERVICE_US);
    }
}

static KqAdmissionEntry *
next_waiting (World *world, KqTime now)
{
  if (!world->fifo)
    return kq_admission_next (&world->admission, now);
  return kq_admission_has_room (&world->admission) ? TAILQ_FIRST (&world->admission.waiting) : NULL;
}

static void
take_waiting (World *world, KqTime now)
{
  KqAdmissionEntry *entry;
  while ((entry = next_waiting (world, now)) != NULL)
    {
      kq_admission_remove (&world->admission, entry);
      begin (world, (Request *)(void *)((char *)entry - offsetof (Request, entry)), now);
    }
  while ((entry = kq_admission_useless (&world->admission, now)) != NULL)
    {
      kq_admission_remove (&world->admission, entry);
      ((Request *)(void *)((char *)entry - offsetof (Request, entry)))->refused = true;
    }
}

static void
arrive (World *world, Request *request, unsigned priority, KqTime now)
{
  request->entry.arrived_at = now;
  request->entry.need = (KqStreamNeed){ .priority = priority,
                                        .objective_ms = OBJECTIVE_MS,
                                        .timeout_ms = TIMEOUT_MS };
  if (kq_admission_has_room (&world->admission) && world->admission.waiting_count == 0)
    begin (world, request, now);
  else if (kq_admission_worth_waiting (&world->admission, &request->entry, now))
    kq_admission_wait (&world->admission, &request->entry);
  else
    request->refused = true;
}

/* Requests arrive at a constant rate of @load_permille of the capacity of the slots; every third
 * has priority 1. @backlog requests are already there at the start. */
static World *
play (unsigned load_permille, unsigned backlog, bool fifo)
{
  World *world = talloc_zero (NULL, World);
  KqTime step = SERVICE_US * 1000 / SLOTS / load_permille;
  KqTime next = 0;
  unsigned used = 0;
  kq_admission_init (&world->admission);
  kq_admission_set_slots (&world->admission, SLOTS);
  kq_random_seed (&world->random, SEED);
  world->fifo = fifo;
  for (; used < backlog; used++)
    arrive (world, &world->requests[used], used % 3 == 0 ? 1 : 2, 0);
  for (KqTime now = 0; used < REQUESTS || world->running_count > 0; now += KQ_MS)
    {
      end_done (world, now);
      take_waiting (world, now);
      while (used < REQUESTS && next <= now)
        {
          arrive (world, &world->requests[used], used % 3 == 0 ? 1 : 2, now);
          used++;
          next += step;
        }
    }
  return world;
}

static unsigned
in_time (const World *world, unsigned first, unsigned priority)
{
  unsigned count = 0;
  for (unsigned i = first; i < REQUESTS; i++)
    {
      const Request *request = &world->requests[i];
      KqTime took = request->done_at - request->entry.arrived_at;
      count += request->entry.need.priority == priority && request->done_at != 0 &&
               took <= OBJECTIVE_MS * KQ_MS;
    }
  return count;
}

static void
test_below_slots (void)
{
  World *world = play (700, 0, false);
  for (unsigned i = 0; i < REQUESTS; i++)
    CU_ASSERT_FALSE (world->requests[i].refused);
  CU_ASSERT_EQUAL (in_time (world, 0, 1) + in_time (world, 0, 2), REQUESTS);
  talloc_free (world);
}

/* All callers reconnect at once, with a second of work queued and a fifth of the capacity to spare.
 * With a FIFO queue, nearly all answers of the next seconds would be late. */
static void
test_return_after_outage (void)
{
  World *own = play (800, 150, false);
  World *fifo = play (800, 150, true);
  unsigned good = in_time (own, 150, 1) + in_time (own, 150, 2);
  unsigned base = in_time (fifo, 150, 1) + in_time (fifo, 150, 2);
  CU_ASSERT_TRUE (good >= (REQUESTS - 150) * 95 / 100);
  CU_ASSERT_TRUE (good > base + 300);
  talloc_free (own);
  talloc_free (fifo);
}

/* Load of a third above capacity: the slots are used for requests that can be answered in time, by
 * priority, and no request waits behind others that cannot be. */
static void
test_overload (void)
{
  World *own = play (1330, 0, false);
  World *fifo = play (1330, 0, true);
  unsigned good = in_time (own, 0, 1) + in_time (own, 0, 2);
  unsigned base = in_time (fifo, 0, 1) + in_time (fifo, 0, 2);
  unsigned urgent = (REQUESTS + 2) / 3;
  CU_ASSERT_TRUE (in_time (own, 0, 1) >= urgent * 97 / 100);
  CU_ASSERT_TRUE (good >= REQUESTS * 60 / 100);
  CU_ASSERT_TRUE (good > 4 * base);
  talloc_free (own);
  talloc_free (fifo);
}

static void
test_no_useless_wait (void)
{
  KqAdmission admission;
  KqAdmissionEntry waiting[400];
  KqAdmissionEntry fresh = {
    .need = { .priority = 2, .objective_ms = TIMEOUT_MS, .timeout_ms = TIMEOUT_MS }
  };
  unsigned taken = 0;
  kq_admission_init (&admission);
  kq_admission_set_slots (&admission, SLOTS);
  while (taken < 400 && kq_admission_worth_waiting (&admission, &fresh, 0))
    {
      waiting[taken] = fresh;
      kq_admission_wait (&admission, &waiting[taken++]);
    }
  /* The queue limit is 1,150 ms of waiting at 10 ms per request. */
  CU_ASSERT_TRUE (taken > 100 && taken < 130);
  fresh.need.priority = 1;
  CU_ASSERT_TRUE (kq_admission_worth_waiting (&admission, &fresh, 0));
  CU_ASSERT_PTR_NULL (kq_admission_useless (&admission, 1100 * KQ_MS));
  CU_ASSERT_PTR_NOT_NULL (kq_admission_useless (&admission, 1200 * KQ_MS));
}

static void
test_load (void)
{
  KqAdmission admission;
  kq_admission_init (&admission);
  kq_admission_set_slots (&admission, SLOTS);
  kq_admission_set_slots (&admission, 0);
  for (unsigned i = 0; i < 400; i++)
    {
      kq_admission_begin (&admission);
      kq_admission_answer (&admission, 900);
      kq_admission_answer (&admission, 100);
      kq_admission_end (&admission, 2 * KQ_MS);
    }
  kq_admission_end (&admission, -1);
  KqTargetLoad load = kq_admission_load (&admission);
  CU_ASSERT_EQUAL (load.running, 0);
  CU_ASSERT_EQUAL (load.slots, SLOTS);
  CU_ASSERT_TRUE (load.service_us < 2100);
  CU_ASSERT_TRUE (load.answer_bytes > 900 && load.answer_bytes < 1100);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "no refusals below capacity", test_below_slots },
    { "reconnection of all callers", test_return_after_outage },
    { "load a third above capacity", test_overload },
    { "streams that cannot be served in time are refused at once", test_no_useless_wait },
    { "reported load", test_load },
  };
  return kq_unit_run ("admission", tests, sizeof tests / sizeof tests[0]);
}
