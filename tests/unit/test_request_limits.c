#include <stdio.h>

#include "guard_fixture.h"

static void
add_class (KqRequestGuardParams *params, const char *name, uint32_t worth)
{
  KqRequestClass *class = &params->classes[params->class_count++];
  snprintf (class->name, sizeof class->name, "%s", name);
  class->worth = worth;
}

static void
send_get (Fixture *fixture, uint8_t token, const char *query)
{
  KqCoapMessage get = make_request (fixture, KQ_COAP_GET, token);
  snprintf (get.query, sizeof get.query, "%s", query);
  from_caller (fixture, &get);
}

static KqRequestGuardStats
stats_of (const Fixture *fixture)
{
  return kq_request_guard_stats (fixture->guard);
}

static void
test_slots_and_queue_are_bounded (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  setup (&fixture, &params);
  for (uint8_t i = 1; i <= 5; i++)
    send_get (&fixture, i, "");
  CU_ASSERT (fixture.target.count == 2);
  CU_ASSERT (stats_of (&fixture).running == 2 && stats_of (&fixture).waiting == 2);
  CU_ASSERT (kq_request_guard_load (fixture.guard, fixture.now) == 2000);
  expect_last (&fixture, KQ_COAP_SERVICE_UNAVAILABLE, "");
  CU_ASSERT (last (&fixture.caller)->token[0] == 5);
  answer (&fixture, 0, KQ_COAP_CONTENT, "a");
  CU_ASSERT (fixture.target.count == 3);
  CU_ASSERT (!kq_request_guard_idle (fixture.guard));
  answer (&fixture, 1, KQ_COAP_CONTENT, "b");
  answer (&fixture, 2, KQ_COAP_CONTENT, "c");
  answer (&fixture, 3, KQ_COAP_CONTENT, "d");
  CU_ASSERT (kq_request_guard_idle (fixture.guard));
  CU_ASSERT (stats_of (&fixture).answered_in_time == 4);
  talloc_free (fixture.guard);
}

static void
test_more_worth_evicts_less (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  add_class (&params, "mark", 10);
  add_class (&params, "photo", 1);
  setup (&fixture, &params);
  for (uint8_t i = 1; i <= 4; i++)
    send_get (&fixture, i, "class=photo");
  send_get (&fixture, 5, "class=mark");
  expect_last (&fixture, KQ_COAP_SERVICE_UNAVAILABLE, "");
  CU_ASSERT (last (&fixture.caller)->token[0] != 5);
  answer (&fixture, 0, KQ_COAP_CONTENT, "");
  CU_ASSERT_STRING_EQUAL (last (&fixture.target)->query, "class=mark&deadline=2000");
  send_get (&fixture, 6, "class=photo");
  send_get (&fixture, 7, "class=photo");
  expect_last (&fixture, KQ_COAP_SERVICE_UNAVAILABLE,
               ""); /* not worth more than the waiting requests */
  CU_ASSERT (last (&fixture.caller)->token[0] == 7);
  talloc_free (fixture.guard);
}

static void
test_one_flow_does_not_fill_the_queue (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  add_class (&params, "mark", 10);
  params.queue_max = 4;
  setup (&fixture, &params);
  for (uint8_t i = 1; i <= 6; i++)
    send_get (&fixture, i, "");
  fixture.flow.caller.port++;
  for (uint8_t i = 1; i <= 2; i++)
    {
      send_get (&fixture, i, "");
      expect_last (&fixture, KQ_COAP_SERVICE_UNAVAILABLE, "");
      CU_ASSERT (fixture.caller.keys[fixture.caller.count - 1].caller.port == 4000);
    }
  send_get (&fixture, 3, ""); /* both flows have two queued requests: no eviction */
  CU_ASSERT (fixture.caller.keys[fixture.caller.count - 1].caller.port == 4001);
  CU_ASSERT (stats_of (&fixture).refused_not_run == 3);
  talloc_free (fixture.guard);
}

static void
test_fairness_does_not_evict_more_worth (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  add_class (&params, "mark", 10);
  params.queue_max = 4;
  setup (&fixture, &params);
  for (uint8_t i = 1; i <= 6; i++)
    send_get (&fixture, i, "class=mark");
  fixture.flow.caller.port++;
  send_get (&fixture, 1, "");
  expect_last (&fixture, KQ_COAP_SERVICE_UNAVAILABLE, "");
  CU_ASSERT (fixture.caller.keys[fixture.caller.count - 1].caller.port == 4001);
  talloc_free (fixture.guard);
}

static void
test_infeasible_deadlines_are_refused (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  setup (&fixture, &params);
  send_get (&fixture, 1, "deadline=0");
  expect_last (&fixture, KQ_COAP_SERVICE_UNAVAILABLE, "");
  send_get (&fixture, 2, "deadline=4294967295");
  CU_ASSERT_STRING_EQUAL (last (&fixture.target)->query, "deadline=60000");
  send_get (&fixture, 3, "");
  send_get (&fixture, 4, "deadline=10"); /* shorter than the expected service time */
  expect_last (&fixture, KQ_COAP_SERVICE_UNAVAILABLE, "");
  send_get (&fixture, 5, "deadline=34");
  CU_ASSERT (stats_of (&fixture).waiting == 1);
  send_get (&fixture, 6, "deadline=35"); /* sufficient alone, but not behind the previous request */
  expect_last (&fixture, KQ_COAP_SERVICE_UNAVAILABLE, "");
  CU_ASSERT (last (&fixture.caller)->token[0] == 6);
  fixture.now += 10 * KQ_MS;
  kq_request_guard_tick (fixture.guard, fixture.now);
  expect_last (&fixture, KQ_COAP_SERVICE_UNAVAILABLE, "");
  CU_ASSERT (last (&fixture.caller)->token[0] == 5 && fixture.target.count == 2);
  talloc_free (fixture.guard);
}

/* After the agent was suspended, waiting requests are refused, running requests have an unknown
 * outcome, and no request is sent late. */
static void
test_resumption_after_suspension (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  params.slots = 1;
  setup (&fixture, &params);
  KqCoapMessage runs = make_post (&fixture, 1);
  KqCoapMessage waits = make_post (&fixture, 2);
  from_caller (&fixture, &runs);
  from_caller (&fixture, &waits);
  unsigned sent = fixture.target.count;
  fixture.now += 600 * KQ_SECOND;
  kq_request_guard_tick (fixture.guard, fixture.now);
  KqRequestGuardStats stats = stats_of (&fixture);
  CU_ASSERT (stats.refused_not_run == 1 && stats.outcome_unknown == 1);
  for (unsigned i = sent; i < fixture.target.count; i++)
    CU_ASSERT (fixture.target.messages[i].code == KQ_COAP_EMPTY);
  from_caller (&fixture, &waits); /* its Echo value is older than any stored outcome */
  CU_ASSERT (last (&fixture.caller)->code != KQ_COAP_CHANGED && stats_of (&fixture).running == 0);
  talloc_free (fixture.guard);
}

static void
test_cold_start_ramps_up (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  params.slots = 5;
  params.ramp_us = 4 * KQ_SECOND;
  setup (&fixture, &params);
  kq_request_guard_tick (fixture.guard, fixture.now);
  for (unsigned second = 0; second <= 5; second++)
    {
      unsigned expected = second < 4 ? 1 + second : 5;
      CU_ASSERT (stats_of (&fixture).slots_usable == expected);
      fixture.now += KQ_SECOND;
      kq_request_guard_tick (fixture.guard, fixture.now);
    }
  talloc_free (fixture.guard);
  setup (&fixture, &params);
  kq_request_guard_tick (fixture.guard, fixture.now);
  kq_request_guard_drain (fixture.guard, fixture.now);
  CU_ASSERT (stats_of (&fixture).slots_usable == 5);
  talloc_free (fixture.guard);
}

static void
answer_unavailable (Fixture *fixture, unsigned index, uint32_t max_age)
{
  const KqCoapMessage *request = &fixture->target.messages[index];
  KqCoapMessage message = { .type = KQ_COAP_ACK,
                            .code = KQ_COAP_SERVICE_UNAVAILABLE,
                            .message_id = request->message_id,
                            .token_size = request->token_size,
                            .max_age_present = true,
                            .max_age = max_age };
  memcpy (message.token, request->token, sizeof message.token);
  from_target (fixture, &message);
}

static void
test_target_refusal_reduces_usable_slots (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  params.slots = 4;
  params.ramp_us = 3 * KQ_SECOND;
  setup (&fixture, &params);
  kq_request_guard_drain (fixture.guard, fixture.now); /* ends the cold-start ramp */
  for (uint8_t i = 1; i <= 3; i++)
    send_get (&fixture, i, "");
  answer_unavailable (&fixture, 2, 5);
  expect_last (&fixture, KQ_COAP_SERVICE_UNAVAILABLE, "");
  CU_ASSERT (stats_of (&fixture).slots_usable == 2);
  CU_ASSERT (stats_of (&fixture).refused_by_target == 1);
  fixture.now += 4 * KQ_SECOND;
  kq_request_guard_tick (fixture.guard, fixture.now);
  CU_ASSERT (stats_of (&fixture).slots_usable == 2);
  fixture.now += 3 * KQ_SECOND;
  kq_request_guard_tick (fixture.guard, fixture.now);
  CU_ASSERT (stats_of (&fixture).slots_usable == 3);
  fixture.now += 2 * KQ_SECOND;
  kq_request_guard_tick (fixture.guard, fixture.now);
  CU_ASSERT (stats_of (&fixture).slots_usable == 4);
  talloc_free (fixture.guard);
}

static void
test_refusal_of_a_post_by_the_target (void)
{
  for (unsigned trusted = 0; trusted <= 1; trusted++)
    {
      Fixture fixture;
      KqRequestGuardParams params = default_params ();
      uint8_t expected = trusted ? KQ_COAP_SERVICE_UNAVAILABLE : KQ_COAP_GATEWAY_TIMEOUT;
      params.target_refusal_trusted = trusted;
      setup (&fixture, &params);
      KqCoapMessage post = make_post (&fixture, 1);
      from_caller (&fixture, &post);
      answer_unavailable (&fixture, 0, 1);
      expect_last (&fixture, expected, "");
      from_caller (&fixture, &post);
      expect_last (&fixture, expected, "");
      CU_ASSERT (fixture.target.count == 1);
      talloc_free (fixture.guard);
    }
}

/* Expired requests occupy their slots until the unresponsive target sends a datagram; otherwise it
 * would be sent further requests with an unknown outcome. */
static void
test_unresponsive_target_gets_no_further_requests (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  params.deadline_us = KQ_SECOND;
  setup (&fixture, &params);
  for (uint8_t i = 1; i <= 2; i++)
    {
      KqCoapMessage post = make_post (&fixture, i);
      from_caller (&fixture, &post);
    }
  fixture.now += 2 * KQ_SECOND;
  kq_request_guard_tick (fixture.guard, fixture.now);
  CU_ASSERT (stats_of (&fixture).slots_stuck == 2);
  CU_ASSERT (last (&fixture.target)->type == KQ_COAP_CON && last (&fixture.target)->code == 0);
  uint16_t probe = last (&fixture.target)->message_id;
  send_get (&fixture, 3, "");
  CU_ASSERT (stats_of (&fixture).running == 0 && stats_of (&fixture).waiting == 1);
  KqCoapMessage pong = { .type = KQ_COAP_RST, .message_id = probe };
  from_target (&fixture, &pong);
  CU_ASSERT (stats_of (&fixture).slots_stuck == 0 && stats_of (&fixture).running == 1);
  answer (&fixture, 0, KQ_COAP_CHANGED, "late");
  CU_ASSERT (stats_of (&fixture).late_answers_dropped == 1);
  talloc_free (fixture.guard);
}

static void
test_stuck_slots_are_released (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  setup (&fixture, &params);
  send_get (&fixture, 1, "");
  fixture.now += 3 * KQ_SECOND;
  kq_request_guard_tick (fixture.guard, fixture.now);
  CU_ASSERT (stats_of (&fixture).slots_stuck == 1);
  fixture.now += 11 * KQ_SECOND;
  kq_request_guard_tick (fixture.guard, fixture.now);
  CU_ASSERT (stats_of (&fixture).slots_stuck == 0);
  talloc_free (fixture.guard);
}

static void
test_idempotent_requests_are_retransmitted (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  setup (&fixture, &params);
  KqCoapMessage post = make_post (&fixture, 1);
  from_caller (&fixture, &post);
  send_get (&fixture, 2, "");
  for (unsigned i = 0; i < 3; i++)
    {
      fixture.now += 500 * KQ_MS;
      kq_request_guard_tick (fixture.guard, fixture.now);
    }
  CU_ASSERT (fixture.target.count == 4); /* the POST once, the GET three times */
  CU_ASSERT (last (&fixture.target)->code == KQ_COAP_GET);
  CU_ASSERT (last (&fixture.target)->message_id == fixture.target.messages[1].message_id);
  CU_ASSERT_STRING_EQUAL (last (&fixture.target)->query,
                          "deadline=1000"); /* the deadline is reduced */
  talloc_free (fixture.guard);
}

static void
test_refusal_of_unaccepted_datagram (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  setup (&fixture, &params);
  static const struct
  {
    uint8_t code;
    bool foreign_echo;
    uint8_t expected;
  } cases[] = {
    { KQ_COAP_GET, false, KQ_COAP_SERVICE_UNAVAILABLE },
    { KQ_COAP_PUT, false, KQ_COAP_GATEWAY_TIMEOUT }, /* a duplicate may have run */
    { KQ_COAP_POST, false, KQ_COAP_SERVICE_UNAVAILABLE },
    { KQ_COAP_POST, true,
      KQ_COAP_GATEWAY_TIMEOUT }, /* the target that issued the value may have run it */
  };
  for (unsigned i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      uint8_t bytes[KQ_DATAGRAM_BYTES];
      KqCoapMessage message = make_request (&fixture, cases[i].code, (uint8_t)(i + 1));
      message.echo_size = cases[i].foreign_echo ? 8 : 0;
      int size = kq_coap_message_format (&message, bytes, sizeof bytes);
      kq_request_guard_refuse (fixture.guard, &fixture.flow, bytes, (size_t)size, KQ_ERROR_FULL,
                               fixture.now);
      expect_last (&fixture, cases[i].expected, "");
    }
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  KqCoapMessage post = make_post (&fixture, 9);
  int size = kq_coap_message_format (&post, bytes, sizeof bytes);
  kq_request_guard_refuse (fixture.guard, &fixture.flow, bytes, (size_t)size, KQ_ERROR_FULL,
                           fixture.now);
  expect_last (&fixture, KQ_COAP_SERVICE_UNAVAILABLE, "");
  from_caller (&fixture, &post); /* a duplicate that arrives here must not run */
  expect_last (&fixture, KQ_COAP_SERVICE_UNAVAILABLE, "");
  CU_ASSERT (fixture.target.count == 0);
  talloc_free (fixture.guard);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "slots and queue are bounded", test_slots_and_queue_are_bounded },
    { "a request of more worth evicts one of less", test_more_worth_evicts_less },
    { "one flow does not fill the queue", test_one_flow_does_not_fill_the_queue },
    { "requests of more worth are not evicted for fairness",
      test_fairness_does_not_evict_more_worth },
    { "requests that cannot meet their deadline are refused",
      test_infeasible_deadlines_are_refused },
    { "resumption after the agent was suspended", test_resumption_after_suspension },
    { "a cold start ramps up", test_cold_start_ramps_up },
    { "a refusal by the target reduces the usable slots",
      test_target_refusal_reduces_usable_slots },
    { "refusal of a POST by the target", test_refusal_of_a_post_by_the_target },
    { "an unresponsive target gets no further requests",
      test_unresponsive_target_gets_no_further_requests },
    { "stuck slots are released after a time limit", test_stuck_slots_are_released },
    { "idempotent requests are retransmitted", test_idempotent_requests_are_retransmitted },
    { "refusal of a datagram that no target accepted", test_refusal_of_unaccepted_datagram },
  };
  return kq_unit_run ("request limits", tests, sizeof tests / sizeof tests[0]);
}
