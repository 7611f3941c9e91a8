/* Answers to readiness checks over a TCP connection; client and server share one event loop. */

#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "kumquat/internal/clock.h"
#include "kumquat/internal/ready_checks.h"
#include "kumquat/log.h"
#include "unit.h"

#define LONG_WAIT_US  (60 * KQ_SECOND) /* longer than any test */
#define SHORT_WAIT_US (20 * KQ_MS)

typedef struct
{
  struct tevent_context *ev;
  KqHttpServer *server;
  KqReadyChecks *checks;
  KqReadyState state;
  unsigned asked;
  int client;
  char got[1024];
  size_t got_size;
} Fixture;

static KqReadyState
get_state (void *data)
{
  const Fixture *fixture = data;
  return fixture->state;
}

static void
on_request (KqHttpRequest *request, const char *method, const char *path, const char *body,
            size_t size, void *data)
{
  Fixture *fixture = data;
  (void)method;
  (void)path;
  (void)body;
  (void)size;
  fixture->asked++;
  kq_ready_checks_handle (fixture->checks, request);
}

static Fixture *
set_up (bool ready, bool may_become_ready, KqTime wait_us)
{
  KqAddress local;
  Fixture *fixture = talloc_zero (NULL, Fixture);
  fixture->state = (KqReadyState){ .ready = ready, .may_become_ready = may_become_ready };
  fixture->ev = tevent_context_init (fixture);
  kq_address_parse ("127.0.0.1:0", &local, NULL);
  fixture->server = kq_http_server_new (fixture, fixture->ev, &local, on_request, fixture, NULL);
  fixture->checks = kq_ready_checks_new (fixture, fixture->ev, wait_us, get_state, fixture, NULL);
  CU_ASSERT_FATAL (fixture->server != NULL && fixture->checks != NULL);
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  address.sin_port = htons (kq_http_server_port (fixture->server));
  fixture->client = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_FATAL (connect (fixture->client, (struct sockaddr *)&address, sizeof address) == 0);
  static const char text[] = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  CU_ASSERT (send (fixture->client, text, sizeof text - 1, 0) == sizeof text - 1);
  while (fixture->asked == 0)
    tevent_loop_once (fixture->ev);
  return fixture;
}

/* Runs the event loop until the response arrives. Return: its HTTP status. */
static int
wait_for_status (Fixture *fixture)
{
  for (;;)
    {
      ssize_t size = recv (fixture->client, fixture->got + fixture->got_size,
                           sizeof fixture->got - fixture->got_size - 1, MSG_DONTWAIT);
      if (size > 0)
        fixture->got_size += (size_t)size;
      if (strstr (fixture->got, " 200 ") != NULL)
        return 200;
      if (strstr (fixture->got, " 503 ") != NULL)
        return 503;
      tevent_loop_once (fixture->ev);
    }
}

static void
tear_down (Fixture *fixture)
{
  close (fixture->client);
  talloc_free (fixture);
}

static void
test_known_answers_come_at_once (void)
{
  Fixture *ready = set_up (true, true, LONG_WAIT_US);
  CU_ASSERT_EQUAL (wait_for_status (ready), 200);
  tear_down (ready);
  Fixture *stopping = set_up (false, false, LONG_WAIT_US);
  CU_ASSERT_EQUAL (wait_for_status (stopping), 503);
  tear_down (stopping);
}

/* Regression: klapp-drift trouble-2. Balancers answered 503 when they were 40 to 200 ms from being
 * ready, so callers reached them only after the next check, half a second later. */
static void
test_waits_until_ready (void)
{
  Fixture *fixture = set_up (false, true, LONG_WAIT_US);
  kq_ready_checks_update (fixture->checks);
  CU_ASSERT_EQUAL (recv (fixture->client, fixture->got, 1, MSG_DONTWAIT), -1);
  fixture->state.ready = true;
  kq_ready_checks_update (fixture->checks);
  CU_ASSERT_EQUAL (wait_for_status (fixture), 200);
  tear_down (fixture);
}

static void
test_wait_ends (void)
{
  Fixture *fixture = set_up (false, true, SHORT_WAIT_US);
  KqTime begun = kq_clock_now ();
  CU_ASSERT_EQUAL (wait_for_status (fixture), 503);
  CU_ASSERT (kq_clock_now () - begun < LONG_WAIT_US / 2);
  tear_down (fixture);
}

static void
test_stop_ends_the_wait (void)
{
  Fixture *fixture = set_up (false, true, LONG_WAIT_US);
  fixture->state.may_become_ready = false;
  kq_ready_checks_update (fixture->checks);
  CU_ASSERT_EQUAL (wait_for_status (fixture), 503);
  tear_down (fixture);
}

/* The process exits while a check is held. */
static void
test_ends_with_a_check_open (void)
{
  tear_down (set_up (false, true, LONG_WAIT_US));
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "known answers come at once", test_known_answers_come_at_once },
    { "a check waits until the process is ready", test_waits_until_ready },
    { "the wait ends", test_wait_ends },
    { "a stop ends the wait", test_stop_ends_the_wait },
    { "a check is open at the end", test_ends_with_a_check_open },
  };
  return kq_unit_run ("ready checks", tests, sizeof tests / sizeof tests[0]);
}
