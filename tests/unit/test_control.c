/* Several control planes with real sockets in one event loop. */

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>
#include <zmq.h>

#include "kumquat/control.h"
#include "kumquat/internal/clock.h"
#include "kumquat/internal/udp_socket.h"
#include "kumquat/log.h"
#include "kumquat/service_document.h"
#include "unit.h"

#define NODES_MAX   12
#define PORT        7946
#define LIMIT       (60 * KQ_SECOND) /* far more than a slow machine needs */
#define LARGE_BYTES 100000           /* about 500 routes */
#define BALANCERS   4

typedef struct
{
  KqControl *control;
  KqControlParams params;
  unsigned documents;
  uint32_t last;
} Node;

typedef struct
{
  struct tevent_context *ev;
  Node nodes[NODES_MAX];
  unsigned count;
} Fixture;

static const uint8_t text_1[] = "{\"a\":1}";
static const uint8_t text_2[] = "{\"a\":2}";

static void
document_changed (const KqDocument *document, void *data)
{
  Node *node = data;
  node->last = document->service;
  node->documents++;
}

static const KqControlOps ops = { .document_changed = document_changed };

/* Addresses are derived from the process id, so that test programs can run in parallel. */
static KqAddress
address_of (unsigned index)
{
  char text[KQ_ADDRESS_TEXT_BYTES];
  KqAddress address;
  unsigned pid = (unsigned)getpid ();
  snprintf (text, sizeof text, "127.%u.%u.%u:%u", 64 + (pid >> 16) % 64, pid >> 8 & 255, pid & 255,
            PORT + index);
  kq_address_parse (text, &address, NULL);
  return address;
}

static void
start (Fixture *f, unsigned index)
{
  Node *node = &f->nodes[index];
  KqControlParams *params = &node->params;
  char service_name[KQ_NAME_BYTES];
  memcpy (service_name, params->service_name, sizeof service_name);
  memset (params, 0, sizeof *params);
  memcpy (params->service_name, service_name, sizeof service_name);
  snprintf (params->self.name, KQ_NAME_BYTES, "node-%02u", index);
  snprintf (params->self.failure_domain, KQ_NAME_BYTES, "domain-%u", index % 2);
  params->self.role = index < BALANCERS ? KQ_ROLE_BALANCER : KQ_ROLE_AGENT;
  params->self.service = index < BALANCERS || service_name[0] != '\0' ? 0 : 1 + index % 2;
  params->self.weight = 100;
  params->self.control = address_of (index);
  params->seeds[0] = address_of (0);
  params->seeds[1] = address_of (1);
  params->seed_count = 2;
  params->probe_interval_us = 100 * KQ_MS;
  params->suspicion_us = 500 * KQ_MS;
  params->budget_bytes_per_s = 1000000;
  KqError error = { 0 };
  node->control = kq_control_new (f->ev, f->ev, params, &ops, node, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (node->control);
}

static void
set_up (Fixture *f, unsigned count)
{
  memset (f, 0, sizeof *f);
  f->ev = tevent_context_init (NULL);
  f->count = count;
  for (unsigned i = 0; i < count; i++)
    start (f, i);
}

static void
stop (Fixture *f, unsigned index)
{
  talloc_free (f->nodes[index].control);
  f->nodes[index].control = NULL;
}

static void
tear_down (Fixture *f)
{
  for (unsigned i = 0; i < f->count; i++)
    stop (f, i);
  talloc_free (f->ev);
}

typedef bool (*Condition) (Fixture *f, unsigned argument);

static bool
wait_until (Fixture *f, Condition holds, unsigned argument)
{
  KqTime end = kq_clock_now () + LIMIT;
  while (!holds (f, argument) && kq_clock_now () < end)
    tevent_loop_once (f->ev);
  return holds (f, argument);
}

static const KqMember *
seen_by (const Node *node, unsigned index)
{
  char name[KQ_NAME_BYTES];
  unsigned count;
  snprintf (name, sizeof name, "node-%02u", index);
  const KqMember *members = kq_control_members (node->control, &count);
  for (unsigned i = 0; i < count; i++)
    {
      if (strcmp (members[i].name, name) == 0)
        return &members[i];
    }
  return NULL;
}

static bool
all_see_count (Fixture *f, unsigned expected)
{
  for (unsigned i = 0; i < f->count; i++)
    {
      unsigned count;
      if (f->nodes[i].control == NULL)
        continue;
      kq_control_members (f->nodes[i].control, &count);
      if (count != expected)
        return false;
    }
  return true;
}

static bool
all_see_draining (Fixture *f, unsigned index)
{
  for (unsigned i = 0; i < f->count; i++)
    {
      const KqMember *member = seen_by (&f->nodes[i], index);
      if (member == NULL || member->phase != KQ_PHASE_DRAINING)
        return false;
    }
  return true;
}

static bool
in_force_at_all (Fixture *f, unsigned revision)
{
  for (unsigned i = 0; i < f->count; i++)
    {
      KqDocumentStatus in_force;
      if (f->nodes[i].control == NULL || i >= BALANCERS)
        continue;
      if (kq_control_in_force (f->nodes[i].control, 1, &in_force) < 0 ||
          in_force.revision.revision != revision || in_force.balancers_in_force != BALANCERS ||
          in_force.balancers != BALANCERS || in_force.agents_in_force != in_force.agents ||
          in_force.laggard_count != 0)
        return false;
    }
  return true;
}

static int
publish (Fixture *f, unsigned index, uint64_t revision, const uint8_t *text, size_t size)
{
  KqDocument document = { .service = 1, .revision = { 1, revision }, .bytes = text, .size = size };
  KqError error = { 0 };
  return kq_control_publish (f->nodes[index].control, &document, &error);
}

static void
test_members_join_change_and_leave (void)
{
  Fixture f;
  set_up (&f, 8);
  CU_ASSERT (wait_until (&f, all_see_count, 8));
  kq_control_set_phase (f.nodes[5].control, KQ_PHASE_DRAINING);
  CU_ASSERT (wait_until (&f, all_see_draining, 5));
  kq_control_leave (f.nodes[5].control);
  stop (&f, 4);
  CU_ASSERT (wait_until (&f, all_see_count, 6) || f.nodes[5].control == NULL);
  tear_down (&f);
}

static void
test_restart_has_higher_incarnation (void)
{
  Fixture f;
  set_up (&f, 5);
  CU_ASSERT (wait_until (&f, all_see_count, 5));
  uint64_t before = kq_control_self (f.nodes[4].control)->peer.incarnation;
  stop (&f, 4);
  CU_ASSERT (wait_until (&f, all_see_count, 4));
  start (&f, 4);
  CU_ASSERT (wait_until (&f, all_see_count, 5));
  CU_ASSERT (seen_by (&f.nodes[0], 4)->peer.incarnation > before);
  tear_down (&f);
}

static void
test_document_is_in_force_and_older_is_refused (void)
{
  Fixture f;
  set_up (&f, 8);
  CU_ASSERT (wait_until (&f, all_see_count, 8));
  CU_ASSERT (publish (&f, 2, 10, text_1, sizeof text_1) == 1);
  CU_ASSERT (publish (&f, 2, 10, text_1, sizeof text_1) == 0);
  CU_ASSERT (wait_until (&f, in_force_at_all, 10));
  CU_ASSERT (publish (&f, 1, 9, text_2, sizeof text_2) == -1);
  CU_ASSERT (publish (&f, 1, 10, text_2, sizeof text_2) == -1);
  CU_ASSERT (publish (&f, 3, 11, text_2, sizeof text_2) == 1);
  CU_ASSERT (wait_until (&f, in_force_at_all, 11));
  for (unsigned i = 0; i < f.count; i++)
    {
      unsigned wanted = i < BALANCERS || f.nodes[i].params.self.service == 1 ? 2 : 0;
      CU_ASSERT (f.nodes[i].documents == wanted);
    }
  tear_down (&f);
}

/* Regression: after a platform added 415 routes, its configuration document no longer fit and was
 * not disseminated. */
static void
test_large_document_is_disseminated (void)
{
  Fixture f;
  uint8_t *large = talloc_zero_size (NULL, LARGE_BYTES);
  memset (large, 'x', LARGE_BYTES);
  set_up (&f, 4);
  CU_ASSERT (wait_until (&f, all_see_count, 4));
  CU_ASSERT (publish (&f, 0, 10, large, LARGE_BYTES) == 1);
  CU_ASSERT (wait_until (&f, in_force_at_all, 10));
  talloc_free (large);
  tear_down (&f);
}

static bool
has_document (Fixture *f, unsigned index)
{
  return f->nodes[index].documents > 0;
}

static void
test_joining_member_learns_documents_from_peers (void)
{
  Fixture f;
  set_up (&f, 4);
  CU_ASSERT (wait_until (&f, all_see_count, 4));
  CU_ASSERT (publish (&f, 0, 10, text_1, sizeof text_1) == 1);
  CU_ASSERT (wait_until (&f, in_force_at_all, 10));
  stop (&f, 3);
  CU_ASSERT (wait_until (&f, all_see_count, 3));
  f.nodes[3].documents = 0;
  start (&f, 3);
  CU_ASSERT (wait_until (&f, has_document, 3));
  tear_down (&f);
}

static void
test_agent_finds_its_service_by_name (void)
{
  static const char *const names[] = { "media", "scoring" };
  Fixture f;
  set_up (&f, 2);
  CU_ASSERT (wait_until (&f, all_see_count, 2));
  for (uint32_t i = 0; i < 2; i++)
    {
      KqService service = { .number = 1 + i, .port = 5683, .slots = 5, .connections = 100 };
      service.deadline_ms = 1000;
      service.slo_permille = 990;
      service.slo_latency_ms = 100;
      snprintf (service.name, KQ_NAME_BYTES, "%s", names[i]);
      char *json = kq_service_format (f.ev, &service, "test");
      KqDocument document = { .service = 1 + i, .revision = { 1, 5 }, .size = strlen (json) };
      document.bytes = (const uint8_t *)json;
      CU_ASSERT (kq_control_publish (f.nodes[0].control, &document, NULL) == 1);
    }
  snprintf (f.nodes[BALANCERS].params.service_name, KQ_NAME_BYTES, "scoring");
  f.count = BALANCERS + 1;
  start (&f, BALANCERS);
  CU_ASSERT (wait_until (&f, has_document, BALANCERS));
  CU_ASSERT (f.nodes[BALANCERS].last == 2);
  CU_ASSERT (f.nodes[BALANCERS].documents == 1);
  tear_down (&f);
}

static uint64_t
metric_of (const KqControl *control, const char *name)
{
  char *text = kq_control_metrics (NULL, control);
  char line[KQ_NAME_BYTES * 3];
  unsigned long long value = 0;
  snprintf (line, sizeof line, "\n%s ", name);
  const char *found = strstr (text, line);
  CU_ASSERT_PTR_NOT_NULL_FATAL (found);
  sscanf (found + strlen (line), "%llu", &value);
  talloc_free (text);
  return value;
}

static bool
bad_messages_counted (Fixture *f, unsigned wanted)
{
  const KqControl *control = f->nodes[0].control;
  return metric_of (control, "kumquat_control_wrong_key_total") +
             metric_of (control, "kumquat_control_oversized_total") >=
         wanted;
}

static void
test_bad_datagrams_and_messages_are_counted (void)
{
  Fixture f;
  static const uint8_t bytes[KQ_DATAGRAM_BYTES] = { 1, 2, 3 };
  char endpoint[KQ_ADDRESS_TEXT_BYTES + 8];
  char text[KQ_ADDRESS_TEXT_BYTES];
  set_up (&f, 2);
  CU_ASSERT (wait_until (&f, all_see_count, 2));
  int fd = kq_udp_connect (&f.nodes[0].params.self.control, NULL);
  CU_ASSERT (kq_udp_send (fd, NULL, bytes, 0) == 0);
  CU_ASSERT (kq_udp_send (fd, NULL, bytes, 100) == 0);
  CU_ASSERT (kq_udp_send (fd, NULL, bytes, sizeof bytes) == 0);
  close (fd);
  void *context = zmq_ctx_new ();
  void *dealer = zmq_socket (context, ZMQ_DEALER);
  snprintf (endpoint, sizeof endpoint, "tcp://%s",
            kq_address_format (&f.nodes[0].params.self.control, text));
  zmq_connect (dealer, endpoint);
  zmq_send (dealer, bytes, 100, 0);
  zmq_send (dealer, bytes, 10, ZMQ_SNDMORE);
  zmq_send (dealer, bytes, 10, 0);
  CU_ASSERT (wait_until (&f, bad_messages_counted, 4));
  CU_ASSERT (all_see_count (&f, 2));
  const int linger = 0;
  zmq_setsockopt (dealer, ZMQ_LINGER, &linger, sizeof linger);
  zmq_close (dealer);
  zmq_ctx_term (context);
  tear_down (&f);
}

static bool
sees_two (Fixture *f, unsigned index)
{
  unsigned count;
  kq_control_members (f->nodes[index].control, &count);
  return count == 2;
}

static void
test_key_rotation_loses_no_messages (void)
{
  Fixture f;
  uint8_t fresh[32];
  memset (fresh, 7, sizeof fresh);
  set_up (&f, 2);
  CU_ASSERT (wait_until (&f, all_see_count, 2));
  const uint8_t *old = f.nodes[0].params.key;
  kq_control_set_keys (f.nodes[0].control, old, fresh);
  kq_control_set_keys (f.nodes[1].control, old, fresh);
  kq_control_set_keys (f.nodes[0].control, fresh, old);
  kq_control_set_phase (f.nodes[0].control, KQ_PHASE_SERVING);
  CU_ASSERT (publish (&f, 0, 10, text_1, sizeof text_1) == 1);
  CU_ASSERT (wait_until (&f, has_document, 1));
  kq_control_set_keys (f.nodes[1].control, fresh, NULL);
  CU_ASSERT (metric_of (f.nodes[0].control, "kumquat_control_wrong_key_total") == 0);
  CU_ASSERT (metric_of (f.nodes[1].control, "kumquat_control_wrong_key_total") == 0);
  CU_ASSERT (sees_two (&f, 0) && sees_two (&f, 1));
  tear_down (&f);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "members join, change and leave", test_members_join_change_and_leave },
    { "a restart has a higher incarnation", test_restart_has_higher_incarnation },
    { "a document is in force, an older one refused",
      test_document_is_in_force_and_older_is_refused },
    { "a large document is disseminated", test_large_document_is_disseminated },
    { "a joining member learns documents from peers",
      test_joining_member_learns_documents_from_peers },
    { "an agent finds its service by name", test_agent_finds_its_service_by_name },
    { "bad datagrams and messages are counted", test_bad_datagrams_and_messages_are_counted },
    { "key rotation loses no messages", test_key_rotation_loses_no_messages },
  };
  kq_log_open ("test_control", "-", LOG_WARNING);
  return kq_unit_run ("control", tests, sizeof tests / sizeof tests[0]);
}
