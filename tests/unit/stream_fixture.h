/* A balancer's router of streams, with agents and callers played by the test. */
#pragma once

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

static inline void
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

static inline void
send_reset (const KqStreamKey *key, uint32_t sequence, void *data)
{
  Fixture *fixture = data;
  (void)key;
  (void)sequence;
  fixture->resets++;
}

static inline void
log_event (int level, const char *name, const char *details, void *data)
{
  (void)level;
  (void)name;
  (void)details;
  (void)data;
}

static inline KqRouteTable *
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

static inline Fixture *
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

static inline KqSegment
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

static inline void
caller_sends (Fixture *fixture, uint16_t port, unsigned flags, KqTime now)
{
  KqSegment segment = segment_of (port, flags);
  kq_stream_router_segment (fixture->router, &segment, now);
}

static inline const Sent *
last (const Fixture *fixture)
{
  static const Sent none = { 0 };
  return fixture->sent_count == 0 ? &none : &fixture->sent[fixture->sent_count - 1];
}

static inline unsigned
count_sent (const Fixture *fixture, KqStreamFrameType type)
{
  unsigned count = 0;
  for (unsigned i = 0; i < fixture->sent_count; i++)
    count += fixture->sent[i].type == type;
  return count;
}

static inline void
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
static inline void
decline (Fixture *fixture, KqStreamRefusal reason, uint16_t port, KqTime now)
{
  const Sent offer = *last (fixture);
  agent_answers (fixture, offer.agent, KQ_FRAME_DECLINED, reason, offer.attempt, port, now);
}

static inline uint64_t
open_stream (Fixture *fixture, uint16_t port, KqTime now)
{
  caller_sends (fixture, port, KQ_SEGMENT_SYN, now);
  const Sent offer = *last (fixture);
  CU_ASSERT_EQUAL (offer.type, KQ_FRAME_OPEN);
  agent_answers (fixture, offer.agent, KQ_FRAME_HOLDS, KQ_REFUSAL_NONE, offer.attempt, port, now);
  return offer.agent;
}
