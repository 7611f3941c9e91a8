#include <CUnit/Basic.h>
#include <poll.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "kumquat/internal/flow_sockets.h"
#include "kumquat/internal/udp_socket.h"
#include "unit.h"

#define FLOWS 40

typedef struct
{
  KqAddress from[FLOWS];
  uint8_t first_byte[FLOWS];
  unsigned count;
} Target;

typedef struct
{
  unsigned answers[FLOWS];
  unsigned count;
} Answers;

static KqFlowKey
key_of (unsigned number)
{
  KqFlowKey key = { .service = 1, .caller.port = (uint16_t)(1000 + number) };
  return key;
}

static void
target_receive (const KqAddress *from, const uint8_t *bytes, size_t size, void *data)
{
  Target *target = data;
  CU_ASSERT_FATAL (size == 1 && target->count < FLOWS);
  target->from[target->count] = *from;
  target->first_byte[target->count++] = bytes[0];
}

static void
count_answer (const KqFlowKey *key, const uint8_t *bytes, size_t size, void *data)
{
  Answers *answers = data;
  unsigned number = key->caller.port - 1000u;
  CU_ASSERT_FATAL (number < FLOWS && size == 1);
  CU_ASSERT (bytes[0] == number);
  answers->answers[number]++;
  answers->count++;
}

static void
test_each_flow_has_its_own_address (void)
{
  static const KqFlowSocketsOps ops = { .received = count_answer };
  void *context = talloc_new (NULL);
  struct tevent_context *ev = tevent_context_init (context);
  static Target target;
  static Answers answers;
  KqAddress address = kq_unit_address (0, 15701);
  int fd = kq_udp_open (&address, false, NULL);
  CU_ASSERT_FATAL (fd >= 0);
  KqFlowSockets *sockets = kq_flow_sockets_new (context, ev, &address, &ops, &answers);
  for (unsigned i = 0; i < FLOWS; i++)
    {
      KqFlowKey key = key_of (i);
      uint8_t byte = (uint8_t)i;
      CU_ASSERT (kq_flow_sockets_send (sockets, &key, &byte, 1, NULL) == 0);
    }
  struct pollfd ready = { .fd = fd, .events = POLLIN };
  while (target.count < FLOWS && poll (&ready, 1, 5000) == 1)
    kq_udp_receive (fd, target_receive, &target);
  CU_ASSERT_FATAL (target.count == FLOWS);
  for (unsigned i = FLOWS; i-- > 0;)
    CU_ASSERT (kq_udp_send (fd, &target.from[i], &target.first_byte[i], 1) == 0);
  while (answers.count < FLOWS && tevent_loop_once (ev) == 0)
    ;
  for (unsigned i = 0; i < FLOWS; i++)
    CU_ASSERT (answers.answers[i] == 1);
  close (fd);
  talloc_free (context);
}

static void
test_via_is_kept_until_the_flow_closes (void)
{
  static const KqFlowSocketsOps ops = { .received = count_answer };
  void *context = talloc_new (NULL);
  struct tevent_context *ev = tevent_context_init (context);
  KqAddress target = { .port = 1 };
  KqAddress via = { .port = 77 };
  KqFlowKey key = key_of (3);
  KqFlowSockets *sockets = kq_flow_sockets_new (context, ev, &target, &ops, NULL);
  CU_ASSERT_PTR_NULL (kq_flow_sockets_via (sockets, &key));
  CU_ASSERT (kq_flow_sockets_set_via (sockets, &key, &via) == 0);
  CU_ASSERT (kq_flow_sockets_via (sockets, &key)->port == 77);
  kq_flow_sockets_close (sockets, &key);
  CU_ASSERT_PTR_NULL (kq_flow_sockets_via (sockets, &key));
  kq_flow_sockets_close (sockets, &key);
  talloc_free (context);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "each flow has its own address", test_each_flow_has_its_own_address },
    { "the return path is kept until the flow closes", test_via_is_kept_until_the_flow_closes },
  };
  return kq_unit_run ("flow sockets", tests, sizeof tests / sizeof tests[0]);
}
