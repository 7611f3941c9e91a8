#include <CUnit/Basic.h>
#include <poll.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "kumquat/internal/balancer_impl.h"
#include "kumquat/internal/clock.h"
#include "kumquat/internal/udp_socket.h"
#include "unit.h"

#define CALLERS       16
#define REQUESTS      50
#define WORKERS       3
#define WAIT_MS       10000
#define RETRY_MS      200
#define DATA_PORT     15800
#define SERVICE_PORT  15801
#define SERVICE       4
#define UNKNOWN_BYTES 5

/**
 * struct Bench - a forwarder with workers, and one agent that the test simulates
 */
typedef struct
{
  KqForwarder forwarder;
  KqBalancerWorker *workers[WORKERS];
  KqServiceCatalog *catalog;
  KqMember agent;
  KqAddress service;
  int agent_fd;
} Fixture;

static void
swap_routes (Fixture *fixture, unsigned members)
{
  KqRoutes *fresh = kq_routes_new (fixture->catalog, fixture->catalog, &fixture->agent, members,
                                   fixture->forwarder.routes);
  pthread_rwlock_wrlock (&fixture->forwarder.routes_lock);
  KqRoutes *old = fixture->forwarder.routes;
  fixture->forwarder.routes = fresh;
  pthread_rwlock_unlock (&fixture->forwarder.routes_lock);
  atomic_fetch_add (&fixture->forwarder.routes_version, 1);
  talloc_free (old);
  for (unsigned i = 0; i < WORKERS; i++)
    kq_balancer_worker_wake (fixture->workers[i]);
}

static Fixture *
set_up (void)
{
  Fixture *fixture = talloc_zero (NULL, Fixture);
  KqService service = {
    .number = SERVICE, .revision = { 1, 1 }, .name = "s", .port = SERVICE_PORT
  };
  fixture->forwarder.data = kq_unit_address (1, DATA_PORT);
  fixture->agent.peer.data = kq_unit_address (2, DATA_PORT);
  fixture->service = fixture->forwarder.data;
  fixture->service.port = SERVICE_PORT;
  fixture->agent.peer.id = 1;
  fixture->agent.peer.incarnation = 1;
  fixture->agent.role = KQ_ROLE_AGENT;
  fixture->agent.phase = KQ_PHASE_SERVING;
  fixture->agent.weight = 100;
  fixture->agent.service = SERVICE;
  fixture->agent_fd = kq_udp_open (&fixture->agent.peer.data, false, NULL);
  CU_ASSERT_FATAL (fixture->agent_fd >= 0);
  pthread_rwlock_init (&fixture->forwarder.routes_lock, NULL);
  fixture->catalog = kq_service_catalog_new (fixture);
  kq_service_catalog_store (fixture->catalog, &service);
  fixture->forwarder.flows = kq_flow_table_new (fixture, 1000, 4, KQ_SECOND * 60);
  for (unsigned i = 0; i < WORKERS; i++)
    {
      fixture->workers[i] = kq_balancer_worker_new (fixture, &fixture->forwarder, NULL);
      CU_ASSERT_FATAL (fixture->workers[i] != NULL);
    }
  swap_routes (fixture, 1);
  return fixture;
}

static void
tear_down (Fixture *fixture)
{
  for (unsigned i = 0; i < WORKERS; i++)
    TALLOC_FREE (fixture->workers[i]);
  pthread_rwlock_destroy (&fixture->forwarder.routes_lock);
  close (fixture->agent_fd);
  talloc_free (fixture);
}

/* Answers every request with its own payload. */
static void
simulate_agent (const KqAddress *from, const uint8_t *bytes, size_t size, void *data)
{
  Fixture *fixture = data;
  KqPacket packet;
  uint8_t out[KQ_DATAGRAM_BYTES];
  CU_ASSERT_FATAL (kq_packet_decode (bytes, size, &packet, NULL) == 0);
  CU_ASSERT (packet.type == KQ_PACKET_REQUEST && packet.key.service == SERVICE);
  CU_ASSERT (packet.to == fixture->agent.peer.incarnation);
  packet.type = KQ_PACKET_ANSWER;
  packet.from = fixture->agent.peer;
  int length = kq_packet_encode (&packet, out, sizeof out);
  kq_udp_send (fixture->agent_fd, from, out, (size_t)length);
}

static void
receive_answer (const KqAddress *from, const uint8_t *bytes, size_t size, void *data)
{
  unsigned *got = data;
  (void)from;
  CU_ASSERT (size == sizeof *got);
  memcpy (got, bytes, sizeof *got);
}

/* Sends one request and waits for its answer; resends it every RETRY_MS, since a worker may not
 * have opened its service port yet. */
static void
exchange (Fixture *fixture, int caller, unsigned number)
{
  unsigned got = UINT32_MAX;
  KqTime end = kq_clock_now () + WAIT_MS * KQ_MS;
  KqTime sent = 0;
  while (got != number && kq_clock_now () < end)
    {
      if (kq_clock_now () - sent > RETRY_MS * KQ_MS)
        {
          sent = kq_clock_now ();
          kq_udp_send (caller, NULL, (const uint8_t *)&number, sizeof number);
        }
      struct pollfd ready[2] = { { .fd = fixture->agent_fd, .events = POLLIN },
                                 { .fd = caller, .events = POLLIN } };
      poll (ready, 2, RETRY_MS);
      kq_udp_receive (fixture->agent_fd, simulate_agent, fixture);
      kq_udp_receive (caller, receive_answer, &got);
    }
  CU_ASSERT (got == number);
}

static void
test_answers_reach_their_caller_while_routes_change (void)
{
  Fixture *fixture = set_up ();
  int callers[CALLERS];
  for (unsigned i = 0; i < CALLERS; i++)
    callers[i] = kq_udp_connect (&fixture->service, NULL);
  for (unsigned i = 0; i < REQUESTS; i++)
    for (unsigned j = 0; j < CALLERS; j++)
      {
        exchange (fixture, callers[j], i * CALLERS + j);
        if (j % 5 == 0)
          swap_routes (fixture, 1);
      }
  KqFlowTableStats stats = kq_flow_table_stats (fixture->forwarder.flows);
  CU_ASSERT (stats.entries == CALLERS);
  CU_ASSERT (stats.hits > 0);
  for (unsigned i = 0; i < CALLERS; i++)
    close (callers[i]);
  tear_down (fixture);
}

static uint64_t
wait_for (_Atomic uint64_t *counter, uint64_t least)
{
  KqTime end = kq_clock_now () + WAIT_MS * KQ_MS;
  while (atomic_load (counter) < least && kq_clock_now () < end)
    poll (NULL, 0, 1);
  return atomic_load (counter);
}

static void
test_bad_datagrams_are_counted_and_dropped (void)
{
  Fixture *fixture = set_up ();
  int sender = kq_udp_connect (&fixture->forwarder.data, NULL);
  int caller = kq_udp_connect (&fixture->service, NULL);
  static const uint8_t huge[KQ_DATAGRAM_BYTES * 2];
  KqPacket packet = { .type = KQ_PACKET_ANSWER, .key.service = SERVICE + 1 };
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  exchange (fixture, caller, 1);
  kq_udp_send (sender, NULL, huge, sizeof huge);
  kq_udp_send (sender, NULL, huge, UNKNOWN_BYTES);
  CU_ASSERT (wait_for (&fixture->forwarder.counters.malformed, 2) == 2);
  int size = kq_packet_encode (&packet, bytes, sizeof bytes);
  kq_udp_send (sender, NULL, bytes, (size_t)size);
  CU_ASSERT (wait_for (&fixture->forwarder.counters.unknown_service, 1) == 1);
  exchange (fixture, caller, 2);
  close (sender);
  close (caller);
  tear_down (fixture);
}

static void
test_without_target_requests_are_counted (void)
{
  Fixture *fixture = set_up ();
  int caller = kq_udp_connect (&fixture->service, NULL);
  exchange (fixture, caller, 1);
  swap_routes (fixture, 0);
  kq_udp_send (caller, NULL, (const uint8_t *)"12345", UNKNOWN_BYTES);
  CU_ASSERT (wait_for (&fixture->forwarder.counters.no_target, 1) == 1);
  close (caller);
  tear_down (fixture);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "answers reach their caller while routes change",
      test_answers_reach_their_caller_while_routes_change },
    { "bad datagrams are counted and dropped", test_bad_datagrams_are_counted_and_dropped },
    { "without a target requests are counted", test_without_target_requests_are_counted },
  };
  return kq_unit_run ("balancer worker", tests, sizeof tests / sizeof tests[0]);
}
