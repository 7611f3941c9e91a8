/* When a process reads the directory of members; a local server takes the place of the store. */

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/clock.h"
#include "kumquat/internal/stream_directory.h"
#include "store_server.h"
#include "unit.h"

#define STORE_TIMEOUT_US (60 * KQ_SECOND) /* far above a call on a slow machine */
#define STORE_CALLS_MAX  20               /* store calls within which the directory must be read */

typedef struct
{
  struct tevent_context *ev;
  StoreServer *server;
  KqStore *store;
  KqControl *control;
  KqAgentHistory *agent_history;
  KqStreamDirectory *directory;
  unsigned replies;
} Fixture;

static void
on_reply (const KqStoreReply *reply, void *data)
{
  Fixture *fixture = data;
  (void)reply;
  fixture->replies++;
}

/* Calls the store and waits for the reply, which may be an error. */
static void
call_store (Fixture *fixture)
{
  unsigned before = fixture->replies;
  kq_store_read (fixture->store, "other", on_reply, fixture);
  while (fixture->replies == before)
    tevent_loop_once (fixture->ev);
}

static bool
knows_agents (const Fixture *fixture)
{
  uint32_t service = 7;
  KqAgentCandidates candidates = kq_agent_history_candidates (
      fixture->agent_history, fixture->agent_history, &service, 1, 1, kq_clock_now ());
  talloc_free (candidates.ids);
  return candidates.known;
}

static Fixture *
set_up (bool store_reachable)
{
  Fixture *fixture = talloc_zero (NULL, Fixture);
  KqAddress address;
  KqControlParams params = { 0 };
  KqError error = { 0 };
  fixture->ev = tevent_context_init (fixture);
  kq_address_parse ("127.0.0.1:0", &address, NULL);
  fixture->server = store_server_new (fixture->ev, fixture->ev, &address, NULL, NULL);
  address.port = store_server_port (fixture->server);
  fixture->store =
      kq_store_new (fixture->ev, fixture->ev, &address, 1, STORE_TIMEOUT_US, NULL, &error);
  snprintf (params.self.name, KQ_NAME_BYTES, "%s", "balancer");
  snprintf (params.self.failure_domain, KQ_NAME_BYTES, "%s", "near");
  params.self.control = kq_unit_address (1, 7946);
  params.probe_interval_us = 100 * KQ_MS;
  params.suspicion_us = KQ_SECOND;
  params.budget_bytes_per_s = 1000000;
  static const KqControlOps ops = { 0 };
  fixture->control = kq_control_new (fixture->ev, fixture->ev, &params, &ops, fixture, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->control);
  fixture->agent_history = kq_agent_history_new (fixture->ev, kq_clock_now ());
  kq_agent_history_mark_joined (fixture->agent_history);
  store_server_admin (fixture->server, "down", !store_reachable);
  fixture->directory = kq_stream_directory_new (fixture->ev, fixture->ev, fixture->store,
                                                fixture->control, fixture->agent_history, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->directory);
  return fixture;
}

static void
tear_down (Fixture *fixture)
{
  talloc_free (fixture->directory);
  talloc_free (fixture->control);
  talloc_free (fixture);
}

static void
test_read_at_the_start (void)
{
  Fixture *fixture = set_up (true);
  for (unsigned i = 0; i < STORE_CALLS_MAX && !knows_agents (fixture); i++)
    call_store (fixture);
  CU_ASSERT_TRUE (knows_agents (fixture));
  tear_down (fixture);
}

/* Regression: fstra-entries trouble-1. After an outage of the store the configuration was
 * available, but new streams were delayed until the directory's next retry. */
static void
test_read_when_the_store_is_back (void)
{
  Fixture *fixture = set_up (false);
  call_store (fixture);
  CU_ASSERT_FALSE (knows_agents (fixture));
  store_server_admin (fixture->server, "down", 0);
  kq_stream_directory_store_recovered (fixture->directory);
  for (unsigned i = 0; i < STORE_CALLS_MAX && !knows_agents (fixture); i++)
    call_store (fixture);
  CU_ASSERT_TRUE (knows_agents (fixture));
  tear_down (fixture);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "the directory is read at the start", test_read_at_the_start },
    { "the directory is read when the store is back", test_read_when_the_store_is_back },
  };
  return kq_unit_run ("stream directory", tests, sizeof tests / sizeof tests[0]);
}
