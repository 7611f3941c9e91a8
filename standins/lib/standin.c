#include "standin.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>

#define LINE_BYTES 512

KqTime
standin_now (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * KQ_SECOND + now.tv_nsec / 1000;
}

void
standin_fail (const char *what, const char *remedy)
{
  fprintf (stderr, "error=%s remedy=\"%s\" errno=\"%s\"\n", what, remedy, strerror (errno));
  exit (2);
}

static void
on_signal (struct tevent_context *ev, struct tevent_signal *event, int number, int count,
           void *info, void *data)
{
  (void)ev;
  (void)event;
  (void)number;
  (void)count;
  (void)info;
  Standin *standin = data;
  standin->ended = true;
}

static void
on_limit (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
  (void)ev;
  (void)timer;
  (void)now;
  Standin *standin = data;
  standin->ended = true;
}

Standin *
standin_new (uint64_t seed, int seconds)
{
  Standin *standin = talloc_zero (NULL, Standin);
  if (standin == NULL || (standin->ev = tevent_context_init (standin)) == NULL)
    standin_fail ("memory", "out of memory for the event loop; raise the memory limit");
  signal (SIGPIPE, SIG_IGN);
  kq_random_seed (&standin->random, seed);
  tevent_add_signal (standin->ev, standin, SIGTERM, 0, on_signal, standin);
  tevent_add_signal (standin->ev, standin, SIGINT, 0, on_signal, standin);
  if (seconds > 0)
    tevent_add_timer (standin->ev, standin, tevent_timeval_current_ofs ((uint32_t)seconds, 0),
                      on_limit, standin);
  return standin;
}

void
standin_run (Standin *standin)
{
  while (!standin->ended)
    if (tevent_loop_once (standin->ev) != 0)
      break;
}

typedef struct
{
  Standin *standin;
  KqTime interval;
  KqTime next;
  StandinTick tick;
  void *data;
} Ticker;

static void schedule (Ticker *ticker);

static void
on_tick (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now, void *data)
{
  (void)ev;
  (void)timer;
  (void)now;
  Ticker *ticker = data;
  ticker->tick (standin_now (), ticker->data);
  schedule (ticker);
}

static void
schedule (Ticker *ticker)
{
  KqTime now = standin_now ();
  ticker->next += ticker->interval;
  if (ticker->next < now)
    ticker->next = now;
  tevent_add_timer (ticker->standin->ev, ticker,
                    tevent_timeval_current_ofs (0, (uint32_t)(ticker->next - now)), on_tick,
                    ticker);
}

void
standin_tick (Standin *standin, KqTime interval, StandinTick tick, void *data)
{
  Ticker *ticker = talloc_zero (standin, Ticker);
  *ticker = (Ticker){ standin, interval, standin_now (), tick, data };
  schedule (ticker);
}

typedef struct
{
  Standin *standin;
  StandinLine line;
  void *data;
  char text[LINE_BYTES];
  size_t size;
  struct tevent_fd *event;
} LineReader;

static void
process_lines (LineReader *reader)
{
  char *end;
  while ((end = memchr (reader->text, '\n', reader->size)) != NULL)
    {
      *end = '\0';
      if (strcmp (reader->text, "quit") == 0)
        reader->standin->ended = true;
      else
        reader->line (reader->text, reader->data);
      size_t used = (size_t)(end - reader->text) + 1;
      reader->size -= used;
      memmove (reader->text, end + 1, reader->size);
    }
}

static void
on_input (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags, void *data)
{
  (void)ev;
  (void)event;
  (void)flags;
  LineReader *reader = data;
  ssize_t got = read (STDIN_FILENO, reader->text + reader->size, LINE_BYTES - reader->size);
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (got <= 0)
    {
      reader->standin->ended = true;
      return;
    }
  reader->size += (size_t)got;
  process_lines (reader);
  if (reader->size == LINE_BYTES)
    standin_fail ("control-line", "send shorter lines");
}

void
standin_lines (Standin *standin, StandinLine line, void *data)
{
  LineReader *reader = talloc_zero (standin, LineReader);
  reader->standin = standin;
  reader->line = line;
  reader->data = data;
  reader->event =
      tevent_add_fd (standin->ev, reader, STDIN_FILENO, TEVENT_FD_READ, on_input, reader);
}

void
standin_ready (const char *name)
{
  fprintf (stderr, "ready %s\n", name);
}

int
standin_summary (json_t *summary, const char *path)
{
  int status = 0;
  if (path == NULL)
    {
      status = json_dumpf (summary, stdout, JSON_INDENT (1) | JSON_SORT_KEYS);
      putchar ('\n');
    }
  else
    status = json_dump_file (summary, path, JSON_INDENT (1) | JSON_SORT_KEYS);
  json_decref (summary);
  return status == 0 ? 0 : 1;
}
