#include <CUnit/Basic.h>
#include <string.h>
#include <talloc.h>

#include "fleet.h"
#include "kumquat/internal/placement_message.h"
#include "unit.h"

#define SERVICE 3

/* A placement under test; the test itself plays the other agents. */
typedef struct
{
  KqPlacement *placement;
  unsigned delivered;
  unsigned forwarded;
  unsigned refused;
  KqErrorKind reason;
  KqPlacementMessage sent;
  unsigned sent_count;
} Fixture;

static void
on_send (const KqPeer *to, const uint8_t *bytes, size_t size, void *data)
{
  (void)to;
  Fixture *fixture = data;
  fixture->sent_count++;
  CU_ASSERT (kq_placement_message_decode (bytes, size, &fixture->sent, NULL) == 0);
}

static void
on_deliver (const KqPacket *packet, void *data)
{
  (void)packet;
  ((Fixture *)data)->delivered++;
}

static void
on_forward (const KqPeer *to, const KqPacket *packet, void *data)
{
  (void)to;
  (void)packet;
  ((Fixture *)data)->forwarded++;
}

static void
on_refuse (const KqPacket *packet, KqErrorKind reason, void *data)
{
  (void)packet;
  Fixture *fixture = data;
  fixture->refused++;
  fixture->reason = reason;
}

static unsigned
on_load (void *data)
{
  (void)data;
  return 0;
}

static void
on_closed (const KqFlowKey *key, void *data)
{
  (void)key;
  (void)data;
}

static void
set_targets (Fixture *fixture, unsigned count, uint64_t second_incarnation, KqTime now)
{
  KqService service = { .number = SERVICE };
  KqMember targets[2] = { { .phase = KQ_PHASE_SERVING, .weight = 100, .service = SERVICE } };
  targets[1] = targets[0];
  targets[0].peer = (KqPeer){ .id = 1, .incarnation = 5 };
  targets[1].peer = (KqPeer){ .id = 2, .incarnation = second_incarnation };
  KqServiceView view = { .service = &service, .targets = targets, .count = count };
  kq_placement_set_view (fixture->placement, &view, now);
}

static Fixture *
fixture_new (unsigned flows_max)
{
  static const KqPlacementOps ops = {
    on_send, on_deliver, on_forward, on_refuse, on_load, on_closed
  };
  KqPlacementParams params = { .self = { .id = 1, .incarnation = 5 },
                               .flows_max = flows_max,
                               .directory_max = 1000,
                               .idle_us = 10 * KQ_SECOND,
                               .admit_load = 500 };
  Fixture *fixture = talloc_zero (NULL, Fixture);
  fixture->placement = kq_placement_new (fixture, &params, &ops, fixture);
  return fixture;
}

static KqPacket
request (unsigned caller)
{
  KqPacket packet = { .type = KQ_PACKET_REQUEST, .key.service = SERVICE, .to = 5 };
  packet.key.caller.port = (uint16_t)caller;
  packet.key.caller.ip[15] = (uint8_t)caller;
  return packet;
}

static void
receive_message (Fixture *fixture, const KqPlacementMessage *message, KqTime now)
{
  uint8_t bytes[KQ_MESSAGE_BYTES];
  KqPeer from = { .id = 2, .incarnation = 1 };
  int size = kq_placement_message_encode (message, bytes, sizeof bytes);
  kq_placement_message (fixture->placement, &from, bytes, (size_t)size, now, NULL);
}

/* Returns the first caller whose flow's home is this placement; with two targets, few have to be
 * tried. */
static unsigned
caller_homed_here (Fixture *fixture)
{
  for (unsigned caller = 1;; caller++)
    {
      KqPacket packet = request (caller);
      unsigned forwarded = fixture->forwarded;
      kq_placement_packet (fixture->placement, &packet, 0);
      if (fixture->forwarded == forwarded)
        return caller;
    }
}

static void
test_wrong_service_and_wrong_incarnation_are_refused (void)
{
  Fixture *fixture = fixture_new (10);
  KqPacket packet = request (1);
  kq_placement_packet (fixture->placement, &packet, 0);
  CU_ASSERT (fixture->refused == 1 && fixture->reason == KQ_ERROR_UNAVAILABLE);
  set_targets (fixture, 1, 1, 0);
  packet.key.service = SERVICE + 1;
  kq_placement_packet (fixture->placement, &packet, 0);
  CU_ASSERT (fixture->refused == 2 && fixture->reason == KQ_ERROR_WRONG_SERVICE);
  packet = request (1);
  packet.to = 4;
  kq_placement_packet (fixture->placement, &packet, 0);
  CU_ASSERT (fixture->refused == 3 && fixture->reason == KQ_ERROR_STALE);
  CU_ASSERT (fixture->delivered == 0);
  talloc_free (fixture);
}

static void
test_new_home_waits_for_every_target (void)
{
  Fixture *fixture = fixture_new (10);
  set_targets (fixture, 2, 1, 0);
  caller_homed_here (fixture);
  CU_ASSERT (fixture->delivered == 0 && fixture->refused == 0);
  KqPlacementMessage answer = { .type = KQ_MESSAGE_SYNC_ANSWER, .service = SERVICE };
  answer.number = fixture->sent.number;
  CU_ASSERT_FATAL (fixture->sent.type == KQ_MESSAGE_SYNC_REQUEST);
  answer.next = 77;
  receive_message (fixture, &answer, 0);
  CU_ASSERT (fixture->delivered == 0 && fixture->sent.cursor == 77);
  receive_message (fixture, &answer,
                   0); /* a duplicate of the first page is not taken for the second */
  answer.cursor = 77;
  answer.next = 0;
  receive_message (fixture, &answer, 0);
  CU_ASSERT (fixture->delivered == 1 && fixture->refused == 0);
  talloc_free (fixture);
}

static void
test_queued_datagrams_are_refused_after_a_timeout (void)
{
  Fixture *fixture = fixture_new (10);
  set_targets (fixture, 2, 1, 0);
  caller_homed_here (fixture);
  for (KqTime now = 0; now < 3 * KQ_SECOND; now += 10 * KQ_MS)
    kq_placement_tick (fixture->placement, now);
  CU_ASSERT (fixture->delivered == 0 && fixture->refused == 1);
  CU_ASSERT (fixture->reason == KQ_ERROR_UNAVAILABLE);
  CU_ASSERT (kq_placement_stats (fixture->placement).datagrams_waiting == 0);
  talloc_free (fixture);
}

static void
test_waiting_queue_is_bounded (void)
{
  Fixture *fixture = fixture_new (10);
  set_targets (fixture, 2, 1, 0);
  for (unsigned i = 0; i < 60000; i++)
    {
      KqPacket packet = request (i);
      packet.key.caller.ip[15] = 1;
      kq_placement_packet (fixture->placement, &packet, 0);
    }
  CU_ASSERT (kq_placement_stats (fixture->placement).datagrams_waiting <= 1024);
  CU_ASSERT (fixture->refused > 20000 && fixture->reason == KQ_ERROR_FULL);
  talloc_free (fixture);
}

static void
test_draining_and_full_targets_keep_their_flows (void)
{
  Fixture *fixture = fixture_new (2);
  set_targets (fixture, 1, 1, 0);
  KqPacket packets[3] = { request (1), request (2), request (3) };
  for (unsigned i = 0; i < 3; i++)
    kq_placement_packet (fixture->placement, &packets[i], 0);
  CU_ASSERT (fixture->delivered == 2 && fixture->refused == 1 && fixture->reason == KQ_ERROR_FULL);
  kq_placement_set_draining (fixture->placement, true, 0);
  kq_placement_close (fixture->placement, &packets[0].key, 0);
  kq_placement_packet (fixture->placement, &packets[2], 0);
  CU_ASSERT (fixture->delivered == 2 && fixture->refused == 2);
  kq_placement_packet (fixture->placement, &packets[1], 0);
  CU_ASSERT (fixture->delivered == 3);
  CU_ASSERT (kq_placement_stats (fixture->placement).flows_open == 1);
  talloc_free (fixture);
}

static void
test_duplicate_place_request_gets_the_same_answer (void)
{
  Fixture *fixture = fixture_new (1);
  set_targets (fixture, 2, 1, 0);
  KqPlacementMessage place = { .type = KQ_MESSAGE_PLACE, .service = SERVICE, .flow_count = 1 };
  unsigned caller = 1;
  do /* until this placement is not the home of the bucket */
    {
      place.number++;
      place.load = 1000;
      place.flows[0].caller.port = (uint16_t)caller++;
      receive_message (fixture, &place, 0);
    }
  while (fixture->sent.type != KQ_MESSAGE_PLACED);
  KqFlowKey key = { .service = SERVICE, .caller = place.flows[0].caller };
  KqPlacementMessage first = place;
  place.number++;
  place.flows[0].caller.ip[0] = 1;
  while (fixture->sent.reason != KQ_ERROR_FULL)
    {
      place.number++;
      place.flows[0].caller.port++;
      receive_message (fixture, &place, 0);
    }
  kq_placement_close (fixture->placement, &key, 0);
  receive_message (fixture, &place, 0);
  CU_ASSERT (fixture->sent.type == KQ_MESSAGE_REFUSED);
  receive_message (fixture, &first, 0);
  CU_ASSERT (fixture->sent.type == KQ_MESSAGE_REFUSED &&
             fixture->sent.reason == KQ_ERROR_NOT_FOUND);
  CU_ASSERT (kq_placement_stats (fixture->placement).flows_open == 0);
  talloc_free (fixture);
}

static void
test_flows_of_an_ended_incarnation_are_lost (void)
{
  Fixture *fixture = fixture_new (10);
  set_targets (fixture, 2, 1, 0);
  unsigned caller = caller_homed_here (fixture);
  KqPlacementMessage answer = { .type = KQ_MESSAGE_SYNC_ANSWER, .service = SERVICE };
  answer.number = fixture->sent.number;
  answer.flow_count = 1;
  answer.flows[0].caller = request (caller).key.caller;
  unsigned forwarded = fixture->forwarded;
  receive_message (fixture, &answer, 0);
  CU_ASSERT (fixture->forwarded == forwarded + 1 && fixture->delivered == 0);
  set_targets (fixture, 2, 2, 0);
  CU_ASSERT (kq_placement_stats (fixture->placement).flows_lost == 1);
  KqPacket packet = request (caller);
  kq_placement_packet (fixture->placement, &packet, 0);
  CU_ASSERT (fixture->delivered == 1);
  receive_message (fixture, &answer, 0);
  CU_ASSERT (kq_placement_stats (fixture->placement).messages_bad == 1);
  talloc_free (fixture);
}

/* Datagrams delivered by each agent of a simulated service in which one target is idle. */
static unsigned deliveries[KQ_FLEET_AGENTS_MAX];

static void
fleet_deliver (unsigned agent, const KqPacket *packet, void *data)
{
  (void)packet;
  (void)data;
  deliveries[agent]++;
}

static unsigned
fleet_load (unsigned agent, void *data)
{
  return agent == *(unsigned *)data ? 100 : 2000;
}

static void
test_busy_home_finds_the_idle_target (void)
{
  unsigned idle = 4;
  KqFleetParams params = { .seed = 3,
                           .balancers = 3,
                           .delay = KQ_MS / 2,
                           .deliver = fleet_deliver,
                           .load = fleet_load,
                           .data = &idle };
  params.placement = (KqPlacementParams){ .flows_max = 2000,
                                          .directory_max = 2000,
                                          .idle_us = 10 * KQ_SECOND,
                                          .admit_load = 800,
                                          .query_max = 6 };
  KqFleet *fleet = kq_fleet_new (NULL, &params);
  for (unsigned i = 0; i < 7; i++)
    kq_fleet_join (fleet, 100);
  kq_fleet_run (fleet, KQ_SECOND);
  for (unsigned i = 0; i < 1000; i++)
    {
      KqFlowKey key = { .service = 1, .caller.port = (uint16_t)(1 + i) };
      key.caller.ip[15] = (uint8_t)i;
      kq_fleet_send (fleet, &key, i);
      kq_fleet_run (fleet, kq_fleet_now (fleet) + 5 * KQ_MS);
    }
  CU_ASSERT (deliveries[idle] == 1000);
  talloc_free (fleet);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "wrong service and wrong incarnation are refused",
      test_wrong_service_and_wrong_incarnation_are_refused },
    { "new home waits for every target", test_new_home_waits_for_every_target },
    { "queued datagrams are refused after a timeout",
      test_queued_datagrams_are_refused_after_a_timeout },
    { "queue of waiting datagrams is bounded", test_waiting_queue_is_bounded },
    { "draining and full targets keep their flows",
      test_draining_and_full_targets_keep_their_flows },
    { "duplicate place request gets the same answer",
      test_duplicate_place_request_gets_the_same_answer },
    { "flows of an ended incarnation are lost", test_flows_of_an_ended_incarnation_are_lost },
    { "busy home finds the idle target", test_busy_home_finds_the_idle_target },
  };
  return kq_unit_run ("placement", tests, sizeof tests / sizeof tests[0]);
}
