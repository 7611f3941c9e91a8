#include <CUnit/Basic.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "kumquat/log.h"
#include "unit.h"

#define THREADS 2
#define REPEATS 50

static char text[65536];

static void
capture (void (*write_events) (void))
{
  FILE *file = tmpfile ();
  int saved = dup (STDOUT_FILENO);
  dup2 (fileno (file), STDOUT_FILENO);
  write_events ();
  dup2 (saved, STDOUT_FILENO);
  close (saved);
  rewind (file);
  size_t size = fread (text, 1, sizeof text - 1, file);
  text[size] = '\0';
  fclose (file);
}

static unsigned
count_of (const char *part)
{
  unsigned count = 0;
  for (const char *at = text; (at = strstr (at, part)) != NULL; at += strlen (part))
    count++;
  return count;
}

static void *
repeat (void *data)
{
  for (unsigned i = 0; i < REPEATS; i++)
    kq_log (LOG_WARNING, data, "i=%u", i);
  return NULL;
}

static void
write_repeats (void)
{
  pthread_t threads[THREADS];
  for (unsigned i = 0; i < THREADS; i++)
    pthread_create (&threads[i], NULL, repeat, "storm");
  for (unsigned i = 0; i < THREADS; i++)
    pthread_join (threads[i], NULL);
  kq_log (LOG_WARNING, "other", "%s", "");
}

static void
test_repeated_events_are_rate_limited (void)
{
  kq_log_open ("program", "b1", LOG_INFO);
  capture (write_repeats);
  CU_ASSERT (count_of (" event=storm i=") == KQ_LOG_BURST);
  CU_ASSERT (count_of (" event=other\n") == 1);
}

static void
write_levels (void)
{
  char quoted[KQ_LOG_QUOTE_BYTES];
  kq_log (LOG_DEBUG, "hidden", "%s", "");
  kq_log (LOG_ERR, "shown", "text=%s", kq_log_quote ("a\"b\nc", quoted));
}

static void
test_levels_and_quotes (void)
{
  kq_log_open ("program", "b1", LOG_INFO);
  capture (write_levels);
  CU_ASSERT (count_of ("hidden") == 0);
  CU_ASSERT (
      count_of ("level=error program=program instance=b1 event=shown text=\"a\\\"b\\x0ac\"\n") ==
      1);
}

int
main (void)
{
  static const KqUnitTest tests[] = {
    { "repeated events are rate-limited", test_repeated_events_are_rate_limited },
    { "levels and quotes", test_levels_and_quotes },
  };
  return kq_unit_run ("log", tests, sizeof tests / sizeof tests[0]);
}
