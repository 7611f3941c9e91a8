/* A balancer's decisions about streams, with agents and callers played by the test. */

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/stream_router.h"
#include "unit.h"

#define AGENTS     3
#define MANY       12 /* agents of a large service */
#define SENT_MAX   64
#define SERVICE    7
#define ROUTE_IP   0xc6120001
#define ROUTE_PORT 443

/**
 * struct Sent - one frame that the router sent
 */
typedef struct
{
  KqStreamFrameType type;
  uint64_t agent;
  uint32_t attempt;
  bool may_wait;
  size_t segment_size;
} Sent;

typedef struct
{
  KqStreamRouter *router;
  Sent sent[SENT_MAX];
  unsigned sent_count;
  unsigned resets;
  KqMember members[MANY];
  uint16_t last_port;
} Fixture;

static void
send_frame (const KqAddress *to, const KqStreamFrame *frame, void *data)
{
  Fixture *fixture = data;
  (void)to;
  if (fixture->sent_count < SENT_MAX)
    fixture->sent[fixture->sent_count++] = (Sent){ .type = frame->type,
                                                   .agent = frame->agent,
                                                   .attempt = frame->attempt,
                                                   .may_wait = frame->need.may_wait,
                                                   .segment_size = frame->segment_size };
}

static void
send_reset (const KqStreamKey *key, uint32_t sequence, void *data)
{
  Fixture *fixture = data;
  (void)key;
  (void)sequence;
  fixture->resets++;
}

static void
log_event (int level, const char *name, const char *details, void *data)
{
  (void)level;
  (void)name;
  (void)details;
  (void)data;
}

static KqRouteTable *
routes (uint64_t version, uint16_t port)
{
  KqRouteTable *table = talloc_zero (NULL, KqRouteTable);
  table->version = version;
  table->idle_timeout_ms = 15000;
  table->count = 1;
  table->routes = talloc_zero (table, KqStreamRoute);
  table->routes[0] = (KqStreamRoute){ .ip = ROUTE_IP,
                                      .port = port,
                                      .priority = 1,
                                      .objective_ms = 200,
                                      .timeout_ms = 1200,
                                      .services = { { SERVICE, 1 } },
                                      .service_count = 1 };
  return table;
}

static Fixture *
set_up (unsigned agents)
{
  static const KqStreamRouterOps ops = { send_frame, send_reset, log_event, NULL };
  Fixture *fixture = talloc_zero (NULL, Fixture);
  fixture->router = kq_stream_router_new (fixture, "near", &ops, fixture);
  for (unsigned i = 0; i < agents; i++)
    {
      fixture->members[i] =
          (KqMember){ .role = KQ_ROLE_AGENT, .phase = KQ_PHASE_SERVING, .service = SERVICE };
      fixture->members[i].peer.id = 100 + i;
      fixture->members[i].peer.incarnation = 1;
      snprintf (fixture->members[i].failure_domain, KQ_NAME_BYTES, "%s", "near");
    }
  kq_stream_router_set_members (fixture->router, fixture->members, agents);
  kq_stream_router_set_routes (fixture->router, routes (1, ROUTE_PORT));
  kq_stream_router_trust_routes (fixture->router, true);
  return fixture;
}

static KqSegment
segment_of (uint16_t caller_port, unsigned flags)
{
  static const uint8_t bytes[32];
  return (KqSegment){ .key = { .caller_ip = 0x64400007,
                               .caller_port = caller_port,
                               .service_ip = ROUTE_IP,
                               .service_port = ROUTE_PORT },
                      .flags = flags,
                      .bytes = bytes,
                      .size = sizeof bytes };
}

static void
caller_sends (Fixture *fixture, uint16_t port, unsigned flags, KqTime now)
{
  KqSegment segment = segment_of (port, flags);
  kq_stream_router_segment (fixture->router, &segment, now);
}

static const Sent *
last (const Fixture *fixture)
{
  static const Sent none = { 0 };
  return fixture->sent_count == 0 ? &none : &fixture->sent[fixture->sent_count - 1];
}

static unsigned
count_sent (const Fixture *fixture, KqStreamFrameType type)
{
  unsigned count = 0;
  for (unsigned i = 0; i < fixture->sent_count; i++)
    count += fixture->sent[i].type == type;
  return count;
}

static void
agent_answers (Fixture *fixture, uint64_t agent, KqStreamFrameType type, KqStreamRefusal reason,
               uint32_t attempt, uint16_t port, KqTime now)
{
  KqStreamFrame frame = { .type = type,
                          .service = SERVICE,
                          .agent = agent,
                          .attempt = attempt,
                          .key = segment_of (port, 0).key,
                          .reason = reason,
                          .load = { .running = 1, .slots = 5, .service_us = 40000 } };
  kq_stream_router_frame (fixture->router, &frame, now);
}

/* The agent of the last offer declines it. */
static void
decline (Fixture *fixture, KqStreamRefusal reason, uint16_t port, KqTime now)
{
  const Sent offer = *last (fixture);
  agent_answers (fixture, offer.agent, KQ_FRAME_DECLINED, reason, offer.attempt, port, now);
}

static uint64_t
open_stream (Fixture *fixture, uint16_t port, KqTime now)
{
  caller_sends (fixture, port, KQ_SEGMENT_SYN, now);
  const Sent offer = *last (fixture);
  CU_ASSERT_EQUAL (offer.type, KQ_FRAME_OPEN);
  agent_answers (fixture, offer.agent, KQ_FRAME_HOLDS, KQ_REFUSAL_NONE, offer.attempt, port, now);
  return offer.agent;
}

static void
test_open_and_carry (void)
{
  Fixture *fixture = set_up (AGENTS);
  uint64_t agent = open_stream (fixture, 1, 0);
  caller_sends (fixture, 1, KQ_SEGMENT_ACK, KQ_MS);
  CU_ASSERT_EQUAL (last (fixture)->type, KQ_FRAME_CARRY);
  CU_ASSERT_EQUAL (last (fixture)->agent, agent);
  CU_ASSERT_EQUAL (count_sent (fixture, KQ_FRAME_OPEN), 1);
  talloc_free (fixture);
}

/* A copy of the opening segment must not open the stream at a second target. */
static void
test_copies_of_opening (void)
{
  Fixture *fixture = set_up (AGENTS);
  caller_sends (fixture, 1, KQ_SEGMENT_SYN, 0);
  caller_sends (fixture, 1, KQ_SEGMENT_SYN, KQ_MS);
  CU_ASSERT_EQUAL (fixture->sent_count, 1);
  const Sent offer = *last (fixture);
  agent_answers (fixture, offer.agent, KQ_FRAME_HOLDS, KQ_REFUSAL_NONE, offer.attempt, 1, KQ_MS);
  caller_sends (fixture, 1, KQ_SEGMENT_SYN, 200 * KQ_MS);
  CU_ASSERT_EQUAL (last (fixture)->agent, offer.agent);
  talloc_free (fixture);
}

static void
test_declined_goes_on (void)
{
  Fixture *fixture = set_up (AGENTS);
  caller_sends (fixture, 1, KQ_SEGMENT_SYN, 0);
  uint64_t first = last (fixture)->agent;
  decline (fixture, KQ_REFUSAL_DRAINING, 1, 1);
  CU_ASSERT_NOT_EQUAL (last (fixture)->agent, first);
  decline (fixture, KQ_REFUSAL_BOUNCED, 1, 2);
  decline (fixture, KQ_REFUSAL_NO_TARGET, 1, 3);
  CU_ASSERT_EQUAL (count_sent (fixture, KQ_FRAME_OPEN), AGENTS);
  CU_ASSERT_EQUAL (fixture->resets, 1);
  /* The one that drains is not asked again, whatever the stream. */
  caller_sends (fixture, 2, KQ_SEGMENT_SYN, KQ_SECOND);
  CU_ASSERT_NOT_EQUAL (last (fixture)->agent, first);
  talloc_free (fixture);
}

/* Slots are full everywhere: the third busy agent is followed by one that may let it wait. */
static void
test_busy_then_waits (void)
{
  Fixture *fixture = set_up (AGENTS);
  caller_sends (fixture, 1, KQ_SEGMENT_SYN, 0);
  for (unsigned i = 0; i < AGENTS; i++)
    {
      CU_ASSERT_FALSE (last (fixture)->may_wait);
      decline (fixture, KQ_REFUSAL_BUSY, 1, i);
    }
  const Sent offer = *last (fixture);
  CU_ASSERT_TRUE (offer.may_wait);
  agent_answers (fixture, offer.agent, KQ_FRAME_WAITING, KQ_REFUSAL_NONE, offer.attempt, 1, 4);
  /* It waits there, and is not offered elsewhere meanwhile. */
  kq_stream_router_tick (fixture->router, KQ_SECOND);
  CU_ASSERT_EQUAL (count_sent (fixture, KQ_FRAME_OPEN), AGENTS + 1);
  agent_answers (fixture, offer.agent, KQ_FRAME_HOLDS, KQ_REFUSAL_NONE, offer.attempt, 1,
                 KQ_SECOND);
  caller_sends (fixture, 1, KQ_SEGMENT_ACK, KQ_SECOND);
  CU_ASSERT_EQUAL (last (fixture)->type, KQ_FRAME_CARRY);
  CU_ASSERT_EQUAL (fixture->resets, 0);
  talloc_free (fixture);
}

static void
test_overload_is_refused_at_once (void)
{
  Fixture *fixture = set_up (AGENTS);
  caller_sends (fixture, 1, KQ_SEGMENT_SYN, 0);
  decline (fixture, KQ_REFUSAL_OVERLOAD, 1, KQ_MS);
  CU_ASSERT_EQUAL (fixture->resets, 1);
  /* A copy that was on its way is refused as well, and opens nothing. */
  caller_sends (fixture, 1, KQ_SEGMENT_SYN, 2 * KQ_MS);
  CU_ASSERT_EQUAL (fixture->resets, 2);
  CU_ASSERT_EQUAL (count_sent (fixture, KQ_FRAME_OPEN), 1);
  talloc_free (fixture);
}

static void
test_silent_agent (void)
{
  Fixture *fixture = set_up (AGENTS);
  caller_sends (fixture, 1, KQ_SEGMENT_SYN, 0);
  uint64_t silent = last (fixture)->agent;
  kq_stream_router_tick (fixture->router, 110 * KQ_MS);
  CU_ASSERT_EQUAL (count_sent (fixture, KQ_FRAME_WITHDRAW), 1);
  CU_ASSERT_EQUAL (last (fixture)->type, KQ_FRAME_OPEN);
  CU_ASSERT_NOT_EQUAL (last (fixture)->agent, silent);
  for (uint16_t port = 2; port < 20; port++)
    {
      caller_sends (fixture, port, KQ_SEGMENT_SYN, 120 * KQ_MS);
      CU_ASSERT_NOT_EQUAL (last (fixture)->agent, silent);
    }
  talloc_free (fixture);
}

/* Regression: klapp-drift-grown scale-2, FLOW. The agent's answer was lost, the caller went on, and
 * its stream was refused after the time of an attempt. */
static void
test_caller_goes_on (void)
{
  Fixture *fixture = set_up (AGENTS);
  caller_sends (fixture, 1, KQ_SEGMENT_SYN, 0);
  const Sent offer = *last (fixture);
  agent_answers (fixture, offer.agent, KQ_FRAME_WAITING, KQ_REFUSAL_NONE, offer.attempt, 1, KQ_MS);
  caller_sends (fixture, 1, KQ_SEGMENT_ACK, 200 * KQ_MS);
  CU_ASSERT_EQUAL (last (fixture)->type, KQ_FRAME_CARRY);
  for (KqTime now = 200 * KQ_MS; now < 3 * KQ_SECOND; now += 50 * KQ_MS)
    kq_stream_router_tick (fixture->router, now);
  CU_ASSERT_EQUAL (fixture->resets, 0);
  CU_ASSERT_EQUAL (count_sent (fixture, KQ_FRAME_OPEN), 1);
  talloc_free (fixture);
}

static void
test_search_finds_holder (void)
{
  Fixture *fixture = set_up (AGENTS);
  caller_sends (fixture, 1, KQ_SEGMENT_ACK, 0);
  CU_ASSERT_EQUAL (count_sent (fixture, KQ_FRAME_FIND), AGENTS);
  caller_sends (fixture, 1, KQ_SEGMENT_ACK, 1);
  uint32_t question = last (fixture)->attempt;
  agent_answers (fixture, 100, KQ_FRAME_DECLINED, KQ_REFUSAL_UNKNOWN, question, 1, KQ_MS);
  agent_answers (fixture, 102, KQ_FRAME_HOLDS, KQ_REFUSAL_NONE, question, 1, KQ_MS);
  CU_ASSERT_EQUAL (count_sent (fixture, KQ_FRAME_CARRY), 2);
  CU_ASSERT_EQUAL (last (fixture)->agent, 102);
  agent_answers (fixture, 101, KQ_FRAME_DECLINED, KQ_REFUSAL_UNKNOWN, question, 1, 2 * KQ_MS);
  caller_sends (fixture, 1, KQ_SEGMENT_ACK, 3 * KQ_MS);
  CU_ASSERT_EQUAL (last (fixture)->type, KQ_FRAME_CARRY);
  CU_ASSERT_EQUAL (fixture->resets, 0);
  talloc_free (fixture);
}

/* Regression: inc-8e85, second 21. A balancer took over a stream 66 ms after its start, knew no
 * agent yet and gave up at once. */
static void
test_search_waits_for_agents (void)
{
  Fixture *fixture = set_up (0);
  caller_sends (fixture, 1, KQ_SEGMENT_ACK, 0);
  kq_stream_router_tick (fixture->router, 20 * KQ_MS);
  fixture->members[0] =
      (KqMember){ .role = KQ_ROLE_AGENT, .phase = KQ_PHASE_SERVING, .service = SERVICE };
  fixture->members[0].peer.id = 100;
  kq_stream_router_set_members (fixture->router, fixture->members, 1);
  kq_stream_router_tick (fixture->router, 40 * KQ_MS);
  CU_ASSERT_EQUAL (last (fixture)->type, KQ_FRAME_FIND);
  agent_answers (fixture, 100, KQ_FRAME_HOLDS, KQ_REFUSAL_NONE, 0, 1, 41 * KQ_MS);
  CU_ASSERT_EQUAL (last (fixture)->type, KQ_FRAME_CARRY);
  talloc_free (fixture);
}

/* After a restart of agents, the segment goes to all that cannot tell; one target keeps it. */
static void
test_probe_of_young_agents (void)
{
  Fixture *fixture = set_up (AGENTS);
  caller_sends (fixture, 1, KQ_SEGMENT_ACK, 0);
  uint32_t question = last (fixture)->attempt;
  for (unsigned i = 0; i < AGENTS; i++)
    agent_answers (fixture, 100 + i, KQ_FRAME_MAYBE, KQ_REFUSAL_NONE, question, 1, KQ_MS);
  CU_ASSERT_EQUAL (count_sent (fixture, KQ_FRAME_PROBE), AGENTS);
  question = last (fixture)->attempt;
  agent_answers (fixture, 100, KQ_FRAME_DECLINED, KQ_REFUSAL_UNKNOWN, question, 1, 2 * KQ_MS);
  agent_answers (fixture, 101, KQ_FRAME_DECLINED, KQ_REFUSAL_UNKNOWN, question, 1, 2 * KQ_MS);
  kq_stream_router_tick (fixture->router, KQ_SECOND);
  caller_sends (fixture, 1, KQ_SEGMENT_ACK, KQ_SECOND);
  CU_ASSERT_EQUAL (last (fixture)->type, KQ_FRAME_CARRY);
  CU_ASSERT_EQUAL (last (fixture)->agent, 102);
  CU_ASSERT_EQUAL (fixture->resets, 0);
  talloc_free (fixture);
}

static void
caller_asks (Fixture *fixture, uint16_t port, unsigned flags, KqTime now)
{
  KqSegment segment = segment_of (port, flags);
  segment.payload_size = 100;
  kq_stream_router_segment (fixture->router, &segment, now);
}

/* The first @count agents answer the last question: they do not hold the stream. */
static void
nobody_holds (Fixture *fixture, unsigned count, uint16_t port, KqTime now)
{
  uint32_t question = last (fixture)->attempt;
  for (unsigned i = 0; i < count; i++)
    agent_answers (fixture, 100 + i, KQ_FRAME_DECLINED, KQ_REFUSAL_UNKNOWN, question, port, now);
}

/* Nobody says that it holds the stream; an agent that is cut off may. */
static void
test_unknown_stream_is_not_reset (void)
{
  Fixture *fixture = set_up (AGENTS);
  kq_stream_router_set_complete (fixture->router, true);
  caller_asks (fixture, 1, KQ_SEGMENT_ACK, 0);
  nobody_holds (fixture, AGENTS - 1, 1, KQ_MS);
  kq_stream_router_tick (fixture->router, KQ_SECOND);
  CU_ASSERT_EQUAL (fixture->resets, 0);
  kq_stream_router_set_complete (fixture->router, false);
  caller_asks (fixture, 2, KQ_SEGMENT_ACK, KQ_SECOND);
  nobody_holds (fixture, AGENTS, 2, KQ_SECOND);
  CU_ASSERT_EQUAL (fixture->resets, 0);
  talloc_free (fixture);
}

/* Regression: tibeb-arena trouble-2. All machines lost power, and 470 callers of open streams
 * waited for 3 s, since nobody told them that their targets had lost the streams. */
static void
test_caller_of_a_stream_that_nobody_holds_is_told (void)
{
  Fixture *fixture = set_up (AGENTS);
  kq_stream_router_set_complete (fixture->router, true);
  caller_asks (fixture, 1, KQ_SEGMENT_ACK, 0);
  nobody_holds (fixture, AGENTS, 1, KQ_MS);
  CU_ASSERT_EQUAL (fixture->resets, 1);
  talloc_free (fixture);
}

/* The caller need not repeat its segment: it is told when the last agent is back. */
static void
test_lost_stream_is_searched_again (void)
{
  Fixture *fixture = set_up (AGENTS);
  caller_asks (fixture, 1, KQ_SEGMENT_ACK, 0);
  nobody_holds (fixture, AGENTS, 1, KQ_MS);
  kq_stream_router_tick (fixture->router, 350 * KQ_MS);
  CU_ASSERT_EQUAL (count_sent (fixture, KQ_FRAME_FIND), AGENTS);
  kq_stream_router_set_complete (fixture->router, true);
  kq_stream_router_tick (fixture->router, 700 * KQ_MS);
  CU_ASSERT_EQUAL (count_sent (fixture, KQ_FRAME_FIND), 2 * AGENTS);
  nobody_holds (fixture, AGENTS, 1, 701 * KQ_MS);
  CU_ASSERT_EQUAL (fixture->resets, 1);
  talloc_free (fixture);
}

/* What was held when the holder comes back goes to it. */
static void
test_lost_stream_is_found_again (void)
{
  Fixture *fixture = set_up (AGENTS);
  caller_asks (fixture, 1, KQ_SEGMENT_ACK, 0);
  nobody_holds (fixture, AGENTS, 1, KQ_MS);
  kq_stream_router_set_members (fixture->router, fixture->members, AGENTS);
  kq_stream_router_tick (fixture->router, 350 * KQ_MS);
  agent_answers (fixture, 101, KQ_FRAME_HOLDS, KQ_REFUSAL_NONE, last (fixture)->attempt, 1,
                 351 * KQ_MS);
  CU_ASSERT_EQUAL (last (fixture)->type, KQ_FRAME_CARRY);
  CU_ASSERT_EQUAL (last (fixture)->agent, 101);
  talloc_free (fixture);
}

/* A caller that waits for nothing is not disturbed, and its stream is forgotten. */
static void
test_caller_that_does_not_wait_is_not_told (void)
{
  Fixture *fixture = set_up (AGENTS);
  kq_stream_router_set_complete (fixture->router, true);
  caller_sends (fixture, 1, KQ_SEGMENT_ACK, 0);
  nobody_holds (fixture, AGENTS, 1, KQ_MS);
  caller_asks (fixture, 2, KQ_SEGMENT_ACK | KQ_SEGMENT_FIN, 0);
  nobody_holds (fixture, AGENTS, 2, KQ_MS);
  for (KqTime now = 0; now < 3 * KQ_SECOND; now += 100 * KQ_MS)
    kq_stream_router_tick (fixture->router, now);
  CU_ASSERT_EQUAL (fixture->resets, 0);
  CU_ASSERT_EQUAL (kq_stream_router_stats (fixture->router).streams, 0);
  talloc_free (fixture);
}

/* An answer to an earlier question is not taken for an agent that has not answered this one. */
static void
test_late_answers_count_for_their_question (void)
{
  Fixture *fixture = set_up (AGENTS);
  kq_stream_router_set_complete (fixture->router, true);
  caller_asks (fixture, 1, KQ_SEGMENT_ACK, 0);
  uint32_t first = last (fixture)->attempt;
  kq_stream_router_tick (fixture->router, 100 * KQ_MS);
  caller_asks (fixture, 1, KQ_SEGMENT_ACK, 400 * KQ_MS);
  CU_ASSERT_EQUAL (count_sent (fixture, KQ_FRAME_FIND), 2 * AGENTS);
  agent_answers (fixture, 100, KQ_FRAME_DECLINED, KQ_REFUSAL_UNKNOWN, first, 1, 401 * KQ_MS);
  nobody_holds (fixture, AGENTS - 1, 1, 402 * KQ_MS);
  CU_ASSERT_EQUAL (fixture->resets, 0);
  agent_answers (fixture, 102, KQ_FRAME_HOLDS, KQ_REFUSAL_NONE, 0, 1, 403 * KQ_MS);
  CU_ASSERT_EQUAL (last (fixture)->type, KQ_FRAME_CARRY);
  talloc_free (fixture);
}

/* All agents of a large service were restarted: the segment must reach the holder among them. */
static void
test_all_young_agents_are_probed (void)
{
  Fixture *fixture = set_up (MANY);
  kq_stream_router_set_complete (fixture->router, true);
  caller_asks (fixture, 1, KQ_SEGMENT_ACK, 0);
  uint32_t question = last (fixture)->attempt;
  for (unsigned i = 0; i < MANY; i++)
    agent_answers (fixture, 100 + i, KQ_FRAME_MAYBE, KQ_REFUSAL_NONE, question, 1, KQ_MS);
  CU_ASSERT_EQUAL (count_sent (fixture, KQ_FRAME_PROBE), MANY);
  nobody_holds (fixture, MANY - 1, 1, 2 * KQ_MS);
  kq_stream_router_tick (fixture->router, 200 * KQ_MS);
  CU_ASSERT_EQUAL (fixture->resets, 0);
  caller_asks (fixture, 1, KQ_SEGMENT_ACK, 300 * KQ_MS);
  CU_ASSERT_EQUAL (last (fixture)->agent, 100 + MANY - 1);
  talloc_free (fixture);
}

/* All targets were restarted with them: none keeps the segment, and the caller is told. */
static void
test_no_young_agent_holds (void)
{
  Fixture *fixture = set_up (AGENTS);
  kq_stream_router_set_complete (fixture->router, true);
  caller_asks (fixture, 1, KQ_SEGMENT_ACK, 0);
  uint32_t question = last (fixture)->attempt;
  for (unsigned i = 0; i < AGENTS; i++)
    agent_answers (fixture, 100 + i, KQ_FRAME_MAYBE, KQ_REFUSAL_NONE, question, 1, KQ_MS);
  nobody_holds (fixture, AGENTS, 1, 2 * KQ_MS);
  CU_ASSERT_EQUAL (fixture->resets, 1);
  talloc_free (fixture);
}

static void
test_gone_target_resets_caller (void)
{
  Fixture *fixture = set_up (AGENTS);
  uint64_t agent = open_stream (fixture, 1, 0);
  agent_answers (fixture, agent, KQ_FRAME_DECLINED, KQ_REFUSAL_BOUNCED, 0, 1, KQ_SECOND);
  nobody_holds (fixture, AGENTS, 1, KQ_SECOND + 1);
  CU_ASSERT_EQUAL (fixture->resets, 1);
  talloc_free (fixture);
}

static void
test_routes_never_go_back (void)
{
  Fixture *fixture = set_up (AGENTS);
  CU_ASSERT_TRUE (kq_stream_router_set_routes (fixture->router, routes (9, ROUTE_PORT)));
  CU_ASSERT_FALSE (kq_stream_router_set_routes (fixture->router, routes (8, 80)));
  CU_ASSERT_FALSE (kq_stream_router_set_routes (fixture->router, routes (9, 80)));
  caller_sends (fixture, 1, KQ_SEGMENT_SYN, 0);
  CU_ASSERT_EQUAL (fixture->resets, 0);
  talloc_free (fixture);
}

/* A route that is missing is refused only by who knows the newest configuration. */
static void
test_no_route (void)
{
  Fixture *fixture = set_up (AGENTS);
  kq_stream_router_set_routes (fixture->router, routes (2, 80));
  kq_stream_router_trust_routes (fixture->router, false);
  caller_sends (fixture, 1, KQ_SEGMENT_SYN, 0);
  CU_ASSERT_EQUAL (fixture->resets, 0);
  kq_stream_router_trust_routes (fixture->router, true);
  caller_sends (fixture, 1, KQ_SEGMENT_SYN, 0);
  CU_ASSERT_EQUAL (fixture->resets, 1);
  CU_ASSERT_EQUAL (fixture->sent_count, 0);
  talloc_free (fixture);
}

/* A stream that is open keeps its target when its route goes elsewhere. */
static void
test_open_stream_outlives_routes (void)
{
  Fixture *fixture = set_up (AGENTS);
  uint64_t agent = open_stream (fixture, 1, 0);
  kq_stream_router_set_routes (fixture->router, routes (2, 80));
  caller_sends (fixture, 1, KQ_SEGMENT_ACK, KQ_SECOND);
  CU_ASSERT_EQUAL (last (fixture)->agent, agent);
  CU_ASSERT_EQUAL (fixture->resets, 0);
  talloc_free (fixture);
}

/* While all targets restart, callers wait for the first one instead of being refused. */
static void
test_waits_for_first_target (void)
{
  Fixture *fixture = set_up (0);
  caller_sends (fixture, 1, KQ_SEGMENT_SYN, 0);
  for (KqTime now = 0; now < 900 * KQ_MS; now += 20 * KQ_MS)
    kq_stream_router_tick (fixture->router, now);
  CU_ASSERT_EQUAL (fixture->resets, 0);
  fixture->members[0] =
      (KqMember){ .role = KQ_ROLE_AGENT, .phase = KQ_PHASE_SERVING, .service = SERVICE };
  fixture->members[0].peer.id = 100;
  kq_stream_router_set_members (fixture->router, fixture->members, 1);
  kq_stream_router_tick (fixture->router, 920 * KQ_MS);
  CU_ASSERT_EQUAL (last (fixture)->type, KQ_FRAME_OPEN);
  talloc_free (fixture);
}

/* Regression: all agents were killed and started again, and callers were refused until their
 * targets had reported, although that takes less than an attempt. */
static void
test_waits_for_starting_agents (void)
{
  Fixture *fixture = set_up (1);
  caller_sends (fixture, 1, KQ_SEGMENT_SYN, 0);
  for (KqTime now = 0; now < 600 * KQ_MS; now += 20 * KQ_MS)
    {
      kq_stream_router_tick (fixture->router, now);
      if (last (fixture)->type == KQ_FRAME_OPEN && fixture->sent_count < SENT_MAX / 2)
        decline (fixture, KQ_REFUSAL_STARTING, 1, now);
    }
  CU_ASSERT_EQUAL (fixture->resets, 0);
  CU_ASSERT_TRUE (count_sent (fixture, KQ_FRAME_OPEN) > 10);
  /* A target that is known to be gone is another matter. */
  caller_sends (fixture, 2, KQ_SEGMENT_SYN, 600 * KQ_MS);
  decline (fixture, KQ_REFUSAL_NO_TARGET, 2, 601 * KQ_MS);
  CU_ASSERT_EQUAL (fixture->resets, 1);
  talloc_free (fixture);
}

static void
test_forgets_idle_streams (void)
{
  Fixture *fixture = set_up (AGENTS);
  open_stream (fixture, 1, 0);
  open_stream (fixture, 2, 0);
  caller_sends (fixture, 2, KQ_SEGMENT_FIN | KQ_SEGMENT_ACK, KQ_MS);
  kq_stream_router_tick (fixture->router, 5 * KQ_SECOND);
  CU_ASSERT_EQUAL (kq_stream_router_stats (fixture->router).streams, 1);
  kq_stream_router_tick (fixture->router, 20 * KQ_SECOND);
  CU_ASSERT_EQUAL (kq_stream_router_stats (fixture->router).streams, 0);
  talloc_free (fixture);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "a stream opens and stays", test_open_and_carry },
    { "copies of the opening open nothing else", test_copies_of_opening },
    { "a declined offer goes on", test_declined_goes_on },
    { "busy everywhere: it waits where it is done first", test_busy_then_waits },
    { "overload is refused at once", test_overload_is_refused_at_once },
    { "a silent agent is left out", test_silent_agent },
    { "a stream whose caller goes on is open", test_caller_goes_on },
    { "the holder of an unknown stream is found", test_search_finds_holder },
    { "a search waits for the first agent", test_search_waits_for_agents },
    { "young agents' targets are asked", test_probe_of_young_agents },
    { "an unknown stream is not reset", test_unknown_stream_is_not_reset },
    { "the caller of a stream that nobody holds is told",
      test_caller_of_a_stream_that_nobody_holds_is_told },
    { "a lost stream is searched again", test_lost_stream_is_searched_again },
    { "a lost stream is found again", test_lost_stream_is_found_again },
    { "a caller that does not wait is not told", test_caller_that_does_not_wait_is_not_told },
    { "late answers count for their question", test_late_answers_count_for_their_question },
    { "all young agents are probed", test_all_young_agents_are_probed },
    { "no young agent holds the stream", test_no_young_agent_holds },
    { "the caller of a gone target is told", test_gone_target_resets_caller },
    { "the configuration never goes back", test_routes_never_go_back },
    { "a missing route", test_no_route },
    { "open streams outlive a change of routes", test_open_stream_outlives_routes },
    { "callers wait for the first target", test_waits_for_first_target },
    { "callers wait for agents that start", test_waits_for_starting_agents },
    { "idle and ended streams are forgotten", test_forgets_idle_streams },
  };
  return kq_unit_run ("stream router", tests, sizeof tests / sizeof tests[0]);
}
