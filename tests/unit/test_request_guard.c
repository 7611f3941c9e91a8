#include "guard_fixture.h"

static void
test_post_runs_once (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  setup (&fixture, &params);
  KqCoapMessage post = make_post (&fixture, 1);
  CU_ASSERT (fixture.target.count == 0);
  from_caller (&fixture, &post);
  CU_ASSERT_FATAL (fixture.target.count == 1);
  CU_ASSERT (last (&fixture.target)->echo_size == 0);
  CU_ASSERT_STRING_EQUAL (last (&fixture.target)->query, "deadline=2000");
  from_caller (&fixture, &post); /* a retransmission while the request is running */
  CU_ASSERT (last (&fixture.caller)->type == KQ_COAP_ACK && last (&fixture.caller)->code == 0);
  answer (&fixture, 0, KQ_COAP_CHANGED, "ok");
  expect_last (&fixture, KQ_COAP_CHANGED, "ok"); /* a separate response after the empty ACK */
  CU_ASSERT (last (&fixture.caller)->type == KQ_COAP_CON);
  CU_ASSERT (last (&fixture.caller)->token[0] == 1);
  post.message_id = fixture.next_mid++; /* a duplicate with a new message id */
  from_caller (&fixture, &post);
  expect_last (&fixture, KQ_COAP_CHANGED, "ok");
  CU_ASSERT (last (&fixture.caller)->message_id == post.message_id);
  post.echo_size = 0; /* a delayed duplicate without the Echo value */
  from_caller (&fixture, &post);
  expect_last (&fixture, KQ_COAP_CHANGED, "ok");
  CU_ASSERT (fixture.target.count == 1);
  KqRequestGuardStats stats = kq_request_guard_stats (fixture.guard);
  CU_ASSERT (stats.duplicates_running == 1 && stats.duplicates_answered == 2 &&
             stats.answered == 1);
  talloc_free (fixture.guard);
}

static void
test_reused_token_is_refused (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  setup (&fixture, &params);
  KqCoapMessage post = make_post (&fixture, 1);
  from_caller (&fixture, &post);
  answer (&fixture, 0, KQ_COAP_CHANGED, "ok");
  post.message_id = fixture.next_mid++;
  post.payload = (const uint8_t *)"9.9";
  from_caller (&fixture, &post);
  expect_last (&fixture, KQ_COAP_BAD_REQUEST, "");
  CU_ASSERT (fixture.target.count == 1);
  talloc_free (fixture.guard);
}

static void
test_echo_of_other_incarnation (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  setup (&fixture, &params);
  KqCoapMessage post = make_post (&fixture, 1);
  from_caller (&fixture, &post);
  talloc_free (fixture.guard);
  params.incarnation++;
  fixture.guard = kq_request_guard_new (NULL, &params, &ops, &fixture);
  from_caller (&fixture, &post);
  expect_last (&fixture, KQ_COAP_GATEWAY_TIMEOUT, "");
  answer (&fixture, 0, KQ_COAP_CHANGED, "ok"); /* for the previous incarnation */
  expect_last (&fixture, KQ_COAP_GATEWAY_TIMEOUT, "");
  CU_ASSERT (fixture.target.count == 1);
  CU_ASSERT (kq_request_guard_stats (fixture.guard).late_answers_dropped == 1);
  talloc_free (fixture.guard);
}

static void
test_echo_of_other_flow_or_target (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  setup (&fixture, &params);
  KqCoapMessage post = make_post (&fixture, 1);
  fixture.flow.caller.port++;
  from_caller (&fixture, &post);
  expect_last (&fixture, KQ_COAP_GATEWAY_TIMEOUT, "");
  fixture.flow.caller.port--;
  talloc_free (fixture.guard);
  params.target_id++;
  fixture.guard = kq_request_guard_new (NULL, &params, &ops, &fixture);
  from_caller (&fixture, &post);
  expect_last (&fixture, KQ_COAP_GATEWAY_TIMEOUT, "");
  post.echo[0] ^= 1;
  from_caller (&fixture, &post);
  expect_last (&fixture, KQ_COAP_GATEWAY_TIMEOUT, "");
  CU_ASSERT (fixture.target.count == 0);
  talloc_free (fixture.guard);
}

static void
test_expired_echo (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  setup (&fixture, &params);
  KqCoapMessage post = make_post (&fixture, 1);
  KqTime issued = fixture.now;
  fixture.now = issued + params.echo_us;
  from_caller (&fixture, &post);
  expect_last (&fixture, KQ_COAP_SERVICE_UNAVAILABLE, ""); /* it is certain that it never ran */
  fixture.now = issued + params.dedup_lifetime_us;
  from_caller (&fixture, &post);
  expect_last (&fixture, KQ_COAP_GATEWAY_TIMEOUT, "");
  CU_ASSERT (fixture.target.count == 0);
  talloc_free (fixture.guard);
}

static void
test_stored_answer_outlives_its_echo (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  setup (&fixture, &params);
  KqCoapMessage post = make_post (&fixture, 1);
  from_caller (&fixture, &post);
  answer (&fixture, 0, KQ_COAP_CHANGED, "ok");
  fixture.now += params.dedup_lifetime_us - 1;
  kq_request_guard_tick (fixture.guard, fixture.now);
  from_caller (&fixture, &post);
  expect_last (&fixture, KQ_COAP_CHANGED, "ok");
  fixture.now += 1;
  kq_request_guard_tick (fixture.guard, fixture.now);
  from_caller (&fixture, &post);
  expect_last (&fixture, KQ_COAP_GATEWAY_TIMEOUT, "");
  CU_ASSERT (fixture.target.count == 1);
  talloc_free (fixture.guard);
}

static void
test_full_store_refuses_and_no_duplicate_runs (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  params.dedup_entries_max = 1;
  setup (&fixture, &params);
  KqCoapMessage first = make_post (&fixture, 1);
  KqCoapMessage second = make_post (&fixture, 2);
  from_caller (&fixture, &first);
  answer (&fixture, 0, KQ_COAP_CHANGED, "ok");
  fixture.now += KQ_SECOND;
  from_caller (&fixture, &second);
  expect_last (&fixture, KQ_COAP_SERVICE_UNAVAILABLE, "");
  KqCoapMessage third = make_request (&fixture, KQ_COAP_POST, 3);
  from_caller (&fixture, &third);
  expect_last (&fixture, KQ_COAP_SERVICE_UNAVAILABLE, ""); /* no Echo challenge either */
  from_caller (&fixture, &first);
  expect_last (&fixture, KQ_COAP_CHANGED, "ok");
  fixture.now +=
      params.dedup_lifetime_us; /* there is room again; the refused request must not run */
  kq_request_guard_tick (fixture.guard, fixture.now);
  from_caller (&fixture, &second);
  CU_ASSERT (last (&fixture.caller)->code != KQ_COAP_CHANGED && fixture.target.count == 1);
  KqCoapMessage fourth = make_post (&fixture, 4);
  from_caller (&fixture, &fourth);
  CU_ASSERT (fixture.target.count == 2);
  talloc_free (fixture.guard);
}

static void
test_stored_bytes_are_bounded (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  params.dedup_bytes_max = KQ_DATAGRAM_BYTES + 100;
  setup (&fixture, &params);
  KqCoapMessage first = make_post (&fixture, 1);
  KqCoapMessage second = make_post (&fixture, 2);
  from_caller (&fixture, &first);
  CU_ASSERT (kq_request_guard_stats (fixture.guard).dedup_bytes == KQ_DATAGRAM_BYTES);
  from_caller (&fixture, &second); /* no space for a whole datagram until the first is answered */
  expect_last (&fixture, KQ_COAP_SERVICE_UNAVAILABLE, "");
  answer (&fixture, 0, KQ_COAP_CHANGED, "ok");
  CU_ASSERT (kq_request_guard_stats (fixture.guard).dedup_bytes < 100);
  fixture.now++;
  KqCoapMessage third = make_post (&fixture, 3);
  from_caller (&fixture, &third);
  CU_ASSERT (fixture.target.count == 2);
  talloc_free (fixture.guard);
}

/* An Echo value must not stay fresh for longer than answers are stored, regardless of the settings:
 * a duplicate would run again after the stored answer has expired. */
static void
test_echo_expires_before_stored_answers (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  params.echo_us = 2 * params.dedup_lifetime_us;
  setup (&fixture, &params);
  KqCoapMessage post = make_post (&fixture, 1);
  from_caller (&fixture, &post);
  answer (&fixture, 0, KQ_COAP_CHANGED, "ok");
  fixture.now += params.dedup_lifetime_us;
  kq_request_guard_tick (fixture.guard, fixture.now);
  from_caller (&fixture, &post);
  expect_last (&fixture, KQ_COAP_GATEWAY_TIMEOUT, "");
  CU_ASSERT (fixture.target.count == 1);
  talloc_free (fixture.guard);
}

static void
test_refused_request_never_runs_later (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  params.slots = 1;
  params.queue_max = 0;
  setup (&fixture, &params);
  KqCoapMessage busy = make_post (&fixture, 1);
  KqCoapMessage refused = make_post (&fixture, 2);
  from_caller (&fixture, &busy);
  from_caller (&fixture, &refused);
  expect_last (&fixture, KQ_COAP_SERVICE_UNAVAILABLE, "");
  CU_ASSERT (last (&fixture.caller)->max_age_present);
  answer (&fixture, 0, KQ_COAP_CHANGED, "ok");
  from_caller (&fixture, &refused); /* a slot is free now */
  expect_last (&fixture, KQ_COAP_SERVICE_UNAVAILABLE, "");
  CU_ASSERT (fixture.target.count == 1);
  talloc_free (fixture.guard);
}

static void
test_late_answer_goes_to_its_own_request_only (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  setup (&fixture, &params);
  KqCoapMessage post = make_post (&fixture, 1);
  from_caller (&fixture, &post);
  fixture.now += params.deadline_us + 1;
  kq_request_guard_tick (fixture.guard, fixture.now);
  expect_last (&fixture, KQ_COAP_GATEWAY_TIMEOUT, "");
  CU_ASSERT (fixture.target.messages[1].type == KQ_COAP_RST);
  KqCoapMessage next = make_request (&fixture, KQ_COAP_GET, 1); /* reuses the token */
  from_caller (&fixture, &next);
  unsigned sent = fixture.caller.count;
  answer (&fixture, 0, KQ_COAP_CHANGED, "late");
  CU_ASSERT (fixture.caller.count == sent);
  CU_ASSERT (kq_request_guard_stats (fixture.guard).late_answers_dropped == 1);
  answer (&fixture, fixture.target.count - 1, KQ_COAP_CONTENT, "own");
  expect_last (&fixture, KQ_COAP_CONTENT, "own");
  from_caller (&fixture, &post); /* a duplicate of the first request gets its actual answer */
  expect_last (&fixture, KQ_COAP_CHANGED, "late");
  talloc_free (fixture.guard);
}

static void
test_answers_match_flow_and_token (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  setup (&fixture, &params);
  KqCoapMessage one = make_request (&fixture, KQ_COAP_GET, 1);
  KqCoapMessage two = make_request (&fixture, KQ_COAP_GET, 1);
  from_caller (&fixture, &one);
  fixture.flow.caller.port++; /* another caller with the same token */
  from_caller (&fixture, &two);
  answer (&fixture, 0, KQ_COAP_CONTENT, "one"); /* on the wrong flow */
  CU_ASSERT (fixture.caller.count == 0);
  answer (&fixture, 1, KQ_COAP_CONTENT, "two");
  expect_last (&fixture, KQ_COAP_CONTENT, "two");
  CU_ASSERT (fixture.caller.keys[fixture.caller.count - 1].caller.port == 4001);
  fixture.flow.caller.port--;
  answer (&fixture, 0, KQ_COAP_CONTENT, "one");
  expect_last (&fixture, KQ_COAP_CONTENT, "one");
  CU_ASSERT (last (&fixture.caller)->message_id == one.message_id);
  CU_ASSERT (fixture.caller.keys[fixture.caller.count - 1].caller.port == 4000);
  talloc_free (fixture.guard);
}

static void
test_added_slots_start_waiting_requests (void)
{
  Fixture fixture;
  KqRequestGuardParams params = default_params ();
  params.slots = 1;
  setup (&fixture, &params);
  KqCoapMessage first = make_request (&fixture, KQ_COAP_GET, 1);
  KqCoapMessage second = make_request (&fixture, KQ_COAP_GET, 2);
  from_caller (&fixture, &first);
  from_caller (&fixture, &second);
  CU_ASSERT (fixture.target.count == 1);
  params.slots = 2;
  kq_request_guard_set_limits (fixture.guard, &params, fixture.now);
  CU_ASSERT (fixture.target.count == 2);
  answer (&fixture, 0, KQ_COAP_CONTENT, "one");
  expect_last (&fixture, KQ_COAP_CONTENT, "one");
  talloc_free (fixture.guard);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "a POST runs once", test_post_runs_once },
    { "a reused token is refused", test_reused_token_is_refused },
    { "an Echo value of another incarnation", test_echo_of_other_incarnation },
    { "an Echo value of another flow or target", test_echo_of_other_flow_or_target },
    { "an expired Echo value", test_expired_echo },
    { "a stored answer outlives its Echo value", test_stored_answer_outlives_its_echo },
    { "a full store refuses and no duplicate runs", test_full_store_refuses_and_no_duplicate_runs },
    { "stored bytes are bounded", test_stored_bytes_are_bounded },
    { "Echo values expire before stored answers", test_echo_expires_before_stored_answers },
    { "a refused request never runs later", test_refused_request_never_runs_later },
    { "a late answer matches its own request only", test_late_answer_goes_to_its_own_request_only },
    { "answers are matched by flow and token", test_answers_match_flow_and_token },
    { "added slots start waiting requests", test_added_slots_start_waiting_requests },
  };
  return kq_unit_run ("request guard", tests, sizeof tests / sizeof tests[0]);
}
