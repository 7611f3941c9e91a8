/* Tests of the search for streams whose route names another service than at their opening. A stream
 * that its target serves must be found, and never be reset. */

#include "stream_fixture.h"

#define OLD_SERVICE    7
#define NEW_SERVICE    8
#define OTHER_SERVICE  9
#define SERVICE_AGENTS 3
#define FIRST_AGENT(s) (100 * (uint64_t)(s))
#define LONG_AGO       (-200 * KQ_SECOND)

/* The first @count agents, SERVICE_AGENTS of each service from OLD_SERVICE on, as members. */
static void
set_agents (Fixture *fixture, unsigned count, KqTime now)
{
  KqMember *members = talloc_zero_array (fixture, KqMember, count);
  for (unsigned i = 0; i < count; i++)
    {
      unsigned service = OLD_SERVICE + i / SERVICE_AGENTS;
      members[i] =
          (KqMember){ .role = KQ_ROLE_AGENT, .phase = KQ_PHASE_SERVING, .service = service };
      members[i].peer.id = FIRST_AGENT (service) + i % SERVICE_AGENTS;
      members[i].peer.incarnation = 1;
      members[i].control = kq_ipv4_address (0x0a000000 + i, 7720);
    }
  kq_agent_history_update (fixture->agent_history, members, count, now);
  kq_stream_router_set_members (fixture->router, members, count);
  talloc_free (members);
}

/* Gives the route the services @first and @second, 0 for none, with the same weight. */
static void
set_route (Fixture *fixture, uint64_t version, uint32_t first, uint32_t second, KqTime now)
{
  KqRouteTable *table = routes (version, ROUTE_PORT);
  KqStreamRoute *route = &table->routes[0];
  route->services[0] = (KqStreamRouteService){ first, 1 };
  route->services[1] = (KqStreamRouteService){ second, 1 };
  route->service_count = second == 0 ? 1 : 2;
  CU_ASSERT_TRUE (kq_stream_router_set_routes (fixture->router, table, now));
}

/* A balancer with agents of @services services, without a configuration. */
static Fixture *
set_up_balancer (unsigned services)
{
  static const KqStreamRouterOps ops = { send_frame, send_reset, log_event, NULL };
  Fixture *fixture = talloc_zero (NULL, Fixture);
  fixture->agent_history = kq_agent_history_new (fixture, LONG_AGO);
  kq_agent_history_merge_directory (fixture->agent_history, NULL, 0, LONG_AGO);
  kq_agent_history_mark_joined (fixture->agent_history);
  fixture->router = kq_stream_router_new (fixture, "near", fixture->agent_history, &ops, fixture);
  kq_stream_router_trust_routes (fixture->router, true);
  for (KqTime now = LONG_AGO; now <= 0; now += KQ_SECOND)
    set_agents (fixture, services * SERVICE_AGENTS, now);
  return fixture;
}

/* Sends data of a stream that the balancer does not know. The agent @owner owns it, all others
 * deny. Return: the number of queries. */
static unsigned
search (Fixture *fixture, uint16_t port, uint64_t owner, KqTime now)
{
  unsigned queries = 0;
  unsigned seen = fixture->sent_count;
  KqSegment segment = segment_of (port, KQ_SEGMENT_ACK);
  segment.payload_size = 100;
  kq_stream_router_handle_segment (fixture->router, &segment, now);
  for (; seen < fixture->sent_count; seen++)
    {
      const Sent query = fixture->sent[seen];
      if (query.type != KQ_FRAME_QUERY)
        continue;
      queries++;
      agent_answers (fixture, query.agent,
                     query.agent == owner ? KQ_FRAME_OWNED : KQ_FRAME_DECLINED,
                     query.agent == owner ? KQ_REFUSAL_NONE : KQ_REFUSAL_UNKNOWN,
                     query.transaction_id, port, now);
    }
  return queries;
}

static void
assert_found (Fixture *fixture, uint16_t port, unsigned service, KqTime now)
{
  uint64_t owner = FIRST_AGENT (service) + 1;
  search (fixture, port, owner, now);
  CU_ASSERT_EQUAL (last (fixture)->type, KQ_FRAME_FORWARD);
  CU_ASSERT_EQUAL (last (fixture)->agent, owner);
  CU_ASSERT_EQUAL (fixture->resets, 0);
}

/* Regression: a balancer that did not have a stream in its table queried only agents of the service
 * that the route names now, and reset the caller while the target served it. */
static void
test_route_names_another_service (void)
{
  Fixture *fixture = set_up_balancer (2);
  set_route (fixture, 1, OLD_SERVICE, 0, LONG_AGO);
  set_route (fixture, 2, NEW_SERVICE, 0, 0);
  assert_found (fixture, 1, OLD_SERVICE, KQ_SECOND);
  assert_found (fixture, 2, OLD_SERVICE, 59 * KQ_SECOND);
  assert_found (fixture, 3, NEW_SERVICE, 59 * KQ_SECOND);
  talloc_free (fixture);
}

static void
test_balancer_started_after_the_change (void)
{
  Fixture *fixture = set_up_balancer (2);
  assert_found (fixture, 1, OLD_SERVICE, 0);
  set_route (fixture, 2, NEW_SERVICE, 0, KQ_SECOND);
  assert_found (fixture, 2, OLD_SERVICE, 2 * KQ_SECOND);
  talloc_free (fixture);
}

/* Another balancer placed streams by version 5, which this one never received. */
static void
test_skipped_version (void)
{
  Fixture *fixture = set_up_balancer (3);
  set_route (fixture, 1, OLD_SERVICE, 0, LONG_AGO);
  set_route (fixture, 9, NEW_SERVICE, 0, 0);
  assert_found (fixture, 1, OTHER_SERVICE, KQ_SECOND);
  talloc_free (fixture);
}

static void
test_route_changed_back (void)
{
  Fixture *fixture = set_up_balancer (2);
  set_route (fixture, 1, OLD_SERVICE, 0, LONG_AGO);
  set_route (fixture, 2, NEW_SERVICE, 0, 0);
  set_route (fixture, 3, OLD_SERVICE, 0, 10 * KQ_SECOND);
  assert_found (fixture, 1, NEW_SERVICE, 50 * KQ_SECOND);
  set_route (fixture, 4, NEW_SERVICE, 0, 51 * KQ_SECOND);
  assert_found (fixture, 2, OLD_SERVICE, 52 * KQ_SECOND);
  talloc_free (fixture);
}

static void
test_weights_shift (void)
{
  Fixture *fixture = set_up_balancer (2);
  set_route (fixture, 1, OLD_SERVICE, 0, LONG_AGO);
  set_route (fixture, 2, OLD_SERVICE, NEW_SERVICE, 0);
  assert_found (fixture, 1, OLD_SERVICE, KQ_SECOND);
  set_route (fixture, 3, NEW_SERVICE, 0, 10 * KQ_SECOND);
  assert_found (fixture, 2, OLD_SERVICE, 50 * KQ_SECOND);
  talloc_free (fixture);
}

static void
test_route_removed_and_added (void)
{
  Fixture *fixture = set_up_balancer (2);
  set_route (fixture, 1, OLD_SERVICE, 0, LONG_AGO);
  kq_stream_router_set_routes (fixture->router, routes (2, 80), 0);
  set_route (fixture, 3, NEW_SERVICE, 0, 5 * KQ_SECOND);
  assert_found (fixture, 1, OLD_SERVICE, 40 * KQ_SECOND);
  talloc_free (fixture);
}

/* A caller whose stream nobody owns is told, and at rest only the route's own service is queried.
 */
static void
test_orphaned_streams_are_reset (void)
{
  Fixture *fixture = set_up_balancer (2);
  set_route (fixture, 1, OLD_SERVICE, 0, LONG_AGO);
  CU_ASSERT_EQUAL (search (fixture, 1, 0, 0), SERVICE_AGENTS);
  CU_ASSERT_EQUAL (fixture->resets, 1);
  set_route (fixture, 2, NEW_SERVICE, 0, 0);
  CU_ASSERT_EQUAL (search (fixture, 2, 0, KQ_SECOND), 2 * SERVICE_AGENTS);
  CU_ASSERT_EQUAL (fixture->resets, 2);
  set_agents (fixture, 2 * SERVICE_AGENTS, 2 * KQ_ROUTE_HISTORY_US);
  CU_ASSERT_EQUAL (search (fixture, 3, 0, 2 * KQ_ROUTE_HISTORY_US), SERVICE_AGENTS);
  CU_ASSERT_EQUAL (fixture->resets, 3);
  talloc_free (fixture);
}

/* More services than a search queries, or a service whose agents were never heard of: nobody is
 * certain that no agent owns the stream. */
static void
test_no_reset_without_certainty (void)
{
  Fixture *fixture = set_up_balancer (20);
  set_route (fixture, 1, OLD_SERVICE, 0, 0);
  search (fixture, 1, 0, KQ_SECOND);
  CU_ASSERT_EQUAL (fixture->resets, 0);
  talloc_free (fixture);
  fixture = set_up_balancer (1);
  set_route (fixture, 1, OLD_SERVICE, NEW_SERVICE, LONG_AGO);
  search (fixture, 1, 0, KQ_SECOND);
  CU_ASSERT_EQUAL (fixture->resets, 0);
  talloc_free (fixture);
}

/* Regression: after a loss of power, one agent of another service that stayed away kept all callers
 * of orphaned streams from being told. An agent that is away may not be the route's own. */
static void
test_missing_agent_of_another_service (void)
{
  Fixture *fixture = set_up_balancer (2);
  set_route (fixture, 1, OLD_SERVICE, 0, 0);
  set_agents (fixture, 2 * SERVICE_AGENTS - 1, KQ_SECOND);
  CU_ASSERT_EQUAL (search (fixture, 1, 0, KQ_SECOND), 2 * SERVICE_AGENTS - 1);
  CU_ASSERT_EQUAL (fixture->resets, 1);
  /* The same absence matters for a route of that service. */
  set_route (fixture, 2, NEW_SERVICE, 0, KQ_SECOND);
  search (fixture, 2, 0, KQ_SECOND);
  CU_ASSERT_EQUAL (fixture->resets, 1);
  talloc_free (fixture);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "the route names another service", test_route_names_another_service },
    { "a balancer started after the change", test_balancer_started_after_the_change },
    { "a version was skipped", test_skipped_version },
    { "the route was changed back", test_route_changed_back },
    { "weights shift to another service", test_weights_shift },
    { "the route was removed and added again", test_route_removed_and_added },
    { "orphaned streams are reset", test_orphaned_streams_are_reset },
    { "a missing agent of another service", test_missing_agent_of_another_service },
    { "no reset without certainty", test_no_reset_without_certainty },
  };
  return kq_unit_run ("route history", tests, sizeof tests / sizeof tests[0]);
}
