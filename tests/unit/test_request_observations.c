#include "guard_fixture.h"

/* Sends a notification or an answer for request number @index, with Observe unless @sequence is 0.
 */
static void
notify (Fixture *fixture, unsigned index, KqCoapType type, uint32_t sequence, const char *payload)
{
  const KqCoapMessage *request = &fixture->target.messages[index];
  KqCoapMessage message = { .type = type,
                            .code = KQ_COAP_CONTENT,
                            .message_id = (uint16_t)(5000 + sequence),
                            .token_size = request->token_size,
                            .observe_present = sequence > 0,
                            .observe = sequence,
                            .payload = (const uint8_t *)payload,
                            .payload_size = strlen (payload) };
  memcpy (message.token, request->token, sizeof message.token);
  from_target (fixture, &message);
}

static void
reset (Fixture *fixture, uint16_t message_id)
{
  KqCoapMessage message = { .type = KQ_COAP_RST, .message_id = message_id };
  from_caller (fixture, &message);
}

static KqCoapMessage
observe (Fixture *fixture, uint8_t token, uint32_t value)
{
  KqCoapMessage get = make_request (fixture, KQ_COAP_GET, token);
  get.observe_present = true;
  get.observe = value;
  from_caller (fixture, &get);
  return get;
}

static KqRequestGuardStats
stats_of (const Fixture *fixture)
{
  return kq_request_guard_stats (fixture->guard);
}

static void
test_observation_survives_drain_and_occupies_no_slot (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  setup (&fixture, &params);
  observe (&fixture, 1, 0);
  CU_ASSERT (last (&fixture.target)->observe_present);
  notify (&fixture, 0, KQ_COAP_NON, 1, "first");
  CU_ASSERT (last (&fixture.caller)->type == KQ_COAP_ACK);
  CU_ASSERT (stats_of (&fixture).observers == 1 && stats_of (&fixture).running == 0);
  kq_request_guard_drain (fixture.guard, fixture.now);
  fixture.now += 3600 * KQ_SECOND;
  kq_request_guard_tick (fixture.guard, fixture.now);
  notify (&fixture, 0, KQ_COAP_NON, 2, "second");
  expect_last (&fixture, KQ_COAP_CONTENT, "second");
  CU_ASSERT (last (&fixture.caller)->type == KQ_COAP_NON);
  CU_ASSERT (last (&fixture.caller)->token[0] == 1 && last (&fixture.caller)->observe == 2);
  CU_ASSERT (!kq_request_guard_idle (fixture.guard));
  kq_request_guard_flow_closed (fixture.guard, &fixture.flow, fixture.now);
  expect_last (&fixture, KQ_COAP_SERVICE_UNAVAILABLE, "");
  CU_ASSERT (!last (&fixture.caller)->observe_present);
  CU_ASSERT (last (&fixture.target)->type == KQ_COAP_RST);
  CU_ASSERT (kq_request_guard_idle (fixture.guard));
  talloc_free (fixture.guard);
}

static void
test_caller_ends_observation (void)
{
  for (unsigned by_reset = 0; by_reset <= 1; by_reset++)
    {
      Fixture fixture;
      KqRequestGuardParams params = default_params ();
      setup (&fixture, &params);
      observe (&fixture, 1, 0);
      notify (&fixture, 0, KQ_COAP_NON, 1, "first");
      notify (&fixture, 0, KQ_COAP_NON, 2, "second");
      if (by_reset)
        {
          reset (&fixture, last (&fixture.caller)->message_id);
          CU_ASSERT (last (&fixture.target)->type == KQ_COAP_RST);
        }
      else
        {
          observe (&fixture, 1, 1);
          CU_ASSERT (last (&fixture.target)->observe == 1);
          CU_ASSERT (memcmp (last (&fixture.target)->token, fixture.target.messages[0].token, 8) ==
                     0);
          notify (&fixture, fixture.target.count - 1, KQ_COAP_ACK, 0, "plain");
          expect_last (&fixture, KQ_COAP_CONTENT, "plain");
        }
      CU_ASSERT (stats_of (&fixture).observers == 0);
      unsigned sent = fixture.caller.count;
      notify (&fixture, 0, KQ_COAP_NON, 3, "third");
      CU_ASSERT (fixture.caller.count == sent);
      CU_ASSERT (last (&fixture.target)->type == KQ_COAP_RST);
      talloc_free (fixture.guard);
    }
}

/* Regression test of scenario shedding-target: an overloaded target refused to renew an
 * observation. The guard had already removed the observation and answered its notifications with
 * resets. */
static void
test_refused_renewal_keeps_observation (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  setup (&fixture, &params);
  observe (&fixture, 1, 0);
  notify (&fixture, 0, KQ_COAP_NON, 1, "first");
  for (unsigned i = 0; i < 3; i++)
    {
      fixture.now += KQ_SECOND;
      observe (&fixture, 1, 0);
      answer (&fixture, fixture.target.count - 1, KQ_COAP_SERVICE_UNAVAILABLE, "");
      CU_ASSERT_EQUAL (last (&fixture.caller)->code, KQ_COAP_SERVICE_UNAVAILABLE);
      notify (&fixture, 0, KQ_COAP_NON, 2 + i, "go on");
      expect_last (&fixture, KQ_COAP_CONTENT, "go on");
      CU_ASSERT_EQUAL (stats_of (&fixture).observers, 1);
    }
  fixture.now += 10 * KQ_SECOND;
  observe (&fixture, 1, 0);
  notify (&fixture, fixture.target.count - 1, KQ_COAP_ACK, 9, "renewed");
  expect_last (&fixture, KQ_COAP_CONTENT, "renewed");
  CU_ASSERT_EQUAL (stats_of (&fixture).observers, 1);
  kq_request_guard_flow_closed (fixture.guard, &fixture.flow, fixture.now);
  CU_ASSERT_TRUE (kq_request_guard_idle (fixture.guard));
  talloc_free (fixture.guard);
}

/* Notifications continue while a renewal waits for a slot, and after it is refused while waiting.
 */
static void
test_waiting_renewal_keeps_observation (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  params.slots = 1;
  setup (&fixture, &params);
  observe (&fixture, 1, 0);
  notify (&fixture, 0, KQ_COAP_NON, 1, "first");
  KqCoapMessage get = make_request (&fixture, KQ_COAP_GET, 2);
  from_caller (&fixture, &get);
  unsigned sent = fixture.target.count;
  observe (&fixture, 1, 0);
  observe (&fixture, 1, 0);
  CU_ASSERT_EQUAL (fixture.target.count, sent);
  notify (&fixture, 0, KQ_COAP_NON, 2, "second");
  expect_last (&fixture, KQ_COAP_CONTENT, "second");
  kq_request_guard_drain (fixture.guard, fixture.now);
  fixture.now += 60 * KQ_SECOND;
  kq_request_guard_tick (fixture.guard, fixture.now);
  notify (&fixture, 0, KQ_COAP_NON, 3, "third");
  expect_last (&fixture, KQ_COAP_CONTENT, "third");
  CU_ASSERT_EQUAL (stats_of (&fixture).observers, 1);
  talloc_free (fixture.guard);
}

static void
test_confirmable_notification_is_retransmitted (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  setup (&fixture, &params);
  observe (&fixture, 1, 0);
  notify (&fixture, 0, KQ_COAP_NON, 1, "first");
  notify (&fixture, 0, KQ_COAP_CON, 2, "second");
  CU_ASSERT (last (&fixture.target)->type == KQ_COAP_ACK);
  CU_ASSERT (last (&fixture.caller)->type == KQ_COAP_CON);
  uint16_t message_id = last (&fixture.caller)->message_id;
  unsigned sent = fixture.caller.count;
  fixture.now += 2 * KQ_SECOND;
  kq_request_guard_tick (fixture.guard, fixture.now);
  CU_ASSERT (fixture.caller.count == sent + 1);
  CU_ASSERT (last (&fixture.caller)->message_id == message_id);
  KqCoapMessage ack = { .type = KQ_COAP_ACK, .message_id = message_id };
  from_caller (&fixture, &ack);
  fixture.now += 100 * KQ_SECOND;
  kq_request_guard_tick (fixture.guard, fixture.now);
  CU_ASSERT (fixture.caller.count == sent + 1 && stats_of (&fixture).observers == 1);
  notify (&fixture, 0, KQ_COAP_CON, 3, "third");
  notify (&fixture, 0, KQ_COAP_CON, 4, "fourth"); /* replaces the third; never acknowledged */
  sent++;
  for (unsigned i = 0; i < 80; i++)
    {
      fixture.now += KQ_SECOND;
      kq_request_guard_tick (fixture.guard, fixture.now);
    }
  CU_ASSERT (fixture.caller.count == sent + 6);
  CU_ASSERT (stats_of (&fixture).observers == 0);
  talloc_free (fixture.guard);
}

static void
test_separate_answer_is_sent_until_acknowledged (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  params.deadline_us = 10 * KQ_SECOND;
  setup (&fixture, &params);
  KqCoapMessage post = make_post (&fixture, 1);
  from_caller (&fixture, &post);
  fixture.now += 1100 * KQ_MS;
  kq_request_guard_tick (fixture.guard, fixture.now);
  CU_ASSERT (last (&fixture.caller)->type == KQ_COAP_ACK && last (&fixture.caller)->code == 0);
  CU_ASSERT (last (&fixture.caller)->message_id == post.message_id);
  answer (&fixture, 0, KQ_COAP_CHANGED, "ok");
  CU_ASSERT (last (&fixture.caller)->type == KQ_COAP_CON);
  CU_ASSERT (!kq_request_guard_idle (fixture.guard)); /* stopping now could lose the answer */
  KqCoapMessage ack = { .type = KQ_COAP_ACK, .message_id = last (&fixture.caller)->message_id };
  from_caller (&fixture, &ack);
  CU_ASSERT (kq_request_guard_idle (fixture.guard));
  talloc_free (fixture.guard);
}

static void
test_cancelled_requests (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  params.slots = 1;
  setup (&fixture, &params);
  KqCoapMessage runs = make_post (&fixture, 1);
  KqCoapMessage waits = make_post (&fixture, 2);
  from_caller (&fixture, &runs);
  from_caller (&fixture, &waits);
  reset (&fixture, waits.message_id);
  CU_ASSERT (stats_of (&fixture).waiting == 0);
  unsigned answers = fixture.caller.count;
  reset (&fixture, runs.message_id);
  CU_ASSERT (fixture.caller.count == answers);
  CU_ASSERT (last (&fixture.target)->type == KQ_COAP_RST);
  CU_ASSERT (last (&fixture.target)->message_id == fixture.target.messages[0].message_id);
  CU_ASSERT (stats_of (&fixture).running == 0 && stats_of (&fixture).cancelled == 2);
  from_caller (&fixture, &waits);
  expect_last (&fixture, KQ_COAP_SERVICE_UNAVAILABLE, "");
  from_caller (&fixture, &runs);
  expect_last (&fixture, KQ_COAP_GATEWAY_TIMEOUT, "");
  unsigned sent = fixture.caller.count;
  answer (&fixture, 0, KQ_COAP_CHANGED, "done"); /* the target ran it nevertheless */
  CU_ASSERT (fixture.caller.count == sent);
  from_caller (&fixture, &runs);
  expect_last (&fixture, KQ_COAP_CHANGED, "done");
  talloc_free (fixture.guard);
}

static void
test_observers_are_bounded (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  params.observers_max = 1;
  setup (&fixture, &params);
  observe (&fixture, 1, 0);
  notify (&fixture, 0, KQ_COAP_NON, 1, "first");
  observe (&fixture, 2, 0);
  expect_last (&fixture, KQ_COAP_SERVICE_UNAVAILABLE, "");
  observe (&fixture, 1, 0); /* a renewal does not count as a second observation */
  CU_ASSERT (fixture.target.count == 2);
  CU_ASSERT (memcmp (last (&fixture.target)->token, fixture.target.messages[0].token, 8) == 0);
  talloc_free (fixture.guard);
}

static void
test_blockwise_transfers_are_forwarded (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  setup (&fixture, &params);
  for (uint32_t i = 0; i < 3; i++)
    {
      KqCoapMessage get =
          make_request (&fixture, KQ_COAP_GET, 1); /* the same token for all blocks */
      get.block2 = (KqCoapBlock){ .present = true, .szx = 6, .num = i };
      from_caller (&fixture, &get);
      CU_ASSERT (last (&fixture.target)->block2.num == i);
      answer (&fixture, i, KQ_COAP_CONTENT, "block");
      expect_last (&fixture, KQ_COAP_CONTENT, "block");
      CU_ASSERT (last (&fixture.caller)->message_id == get.message_id);
    }
  talloc_free (fixture.guard);
}

static void
test_echo_keys_rotate (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  setup (&fixture, &params);
  KqCoapMessage post = make_post (&fixture, 1);
  KqCoapMessage old = make_post (&fixture, 2);
  uint8_t key[32] = { 99 };
  kq_request_guard_rotate_echo_key (fixture.guard, key);
  from_caller (&fixture, &post);
  CU_ASSERT (fixture.target.count == 1);
  for (key[0] = 100; key[0] < 102; key[0]++)
    kq_request_guard_rotate_echo_key (fixture.guard, key);
  from_caller (&fixture, &old);
  expect_last (&fixture, KQ_COAP_GATEWAY_TIMEOUT, "");
  talloc_free (fixture.guard);
}

static void
test_invalid_requests (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  setup (&fixture, &params);
  KqCoapMessage ping = { .type = KQ_COAP_CON, .message_id = 77 };
  from_caller (&fixture, &ping);
  CU_ASSERT (last (&fixture.caller)->type == KQ_COAP_RST);
  CU_ASSERT (last (&fixture.caller)->message_id == 77);
  KqCoapMessage unknown = make_request (&fixture, 9, 1);
  from_caller (&fixture, &unknown);
  expect_last (&fixture, KQ_COAP_METHOD_NOT_ALLOWED, "");
  KqCoapMessage answer_code = make_request (&fixture, KQ_COAP_CONTENT, 1);
  from_caller (&fixture, &answer_code);
  kq_request_guard_from_caller (fixture.guard, &fixture.flow, (const uint8_t *)"x", 1, fixture.now);
  CU_ASSERT (stats_of (&fixture).malformed == 2 && fixture.target.count == 0);
  const uint8_t critical[] = "\x40\x02\x00\x01\x90";
  kq_request_guard_from_caller (fixture.guard, &fixture.flow, critical, sizeof critical - 1,
                                fixture.now);
  expect_last (&fixture, KQ_COAP_BAD_OPTION, "");
  talloc_free (fixture.guard);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "an observation survives a drain", test_observation_survives_drain_and_occupies_no_slot },
    { "a caller ends an observation", test_caller_ends_observation },
    { "a refused renewal keeps the observation", test_refused_renewal_keeps_observation },
    { "a waiting renewal keeps the observation", test_waiting_renewal_keeps_observation },
    { "a confirmable notification is retransmitted",
      test_confirmable_notification_is_retransmitted },
    { "a separate response is sent until acknowledged",
      test_separate_answer_is_sent_until_acknowledged },
    { "cancelled requests", test_cancelled_requests },
    { "observers are bounded", test_observers_are_bounded },
    { "block-wise transfers are forwarded", test_blockwise_transfers_are_forwarded },
    { "Echo keys rotate", test_echo_keys_rotate },
    { "datagrams that are not valid requests", test_invalid_requests },
  };
  return kq_unit_run ("request feeds", tests, sizeof tests / sizeof tests[0]);
}
