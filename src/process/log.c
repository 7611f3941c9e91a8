#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "kumquat/log.h"

#define LINE_BYTES       2048
#define RATE_WINDOWS_MAX 128 /* event names that are rate-limited at the same time */
#define EVENT_BYTES      48
#define NAME_BYTES       64

/**
 * struct Window - rate limit window of one event name
 * @event: name of the event; empty if the entry is unused
 * @start: start of the window, in seconds of the monotonic clock
 * @logged: lines written in the window
 * @suppressed: lines suppressed in the window
 */
typedef struct
{
  char event[EVENT_BYTES];
  time_t start;
  unsigned logged;
  unsigned suppressed;
} RateWindow;

static pthread_mutex_t window_lock = PTHREAD_MUTEX_INITIALIZER;
static RateWindow windows[RATE_WINDOWS_MAX];
static char program_name[NAME_BYTES] = "kumquat";
static char instance_name[NAME_BYTES] = "-";
static _Atomic int max_level = LOG_INFO;
static _Atomic unsigned dropped_lines;

static const char *const level_names[] = {
  [LOG_EMERG] = "emergency", [LOG_ALERT] = "alert",     [LOG_CRIT] = "critical",
  [LOG_ERR] = "error",       [LOG_WARNING] = "warning", [LOG_NOTICE] = "notice",
  [LOG_INFO] = "info",       [LOG_DEBUG] = "debug",
};

void
kq_log_open (const char *program, const char *instance, int level)
{
  snprintf (program_name, sizeof program_name, "%s", program);
  snprintf (instance_name, sizeof instance_name, "%s", instance);
  max_level = level;
  int flags = fcntl (STDOUT_FILENO, F_GETFL);
  struct stat status;
  /* Non-blocking only for a pipe, whose reader may be slow; files and terminals are unchanged. */
  if (flags >= 0 && fstat (STDOUT_FILENO, &status) == 0 && S_ISFIFO (status.st_mode))
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void
kq_log_set_level (int level)
{
  max_level = level;
}

int
kq_log_level_parse (const char *name)
{
  for (int i = LOG_ERR; i <= LOG_DEBUG; i++)
    if (strcmp (level_names[i], name) == 0)
      return i;
  return -1;
}

static void
write_line (int level, const char *event, const char *pairs)
{
  struct timespec now;
  struct tm utc;
  char timestamp[32];
  char line[LINE_BYTES];
  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &utc);
  strftime (timestamp, sizeof timestamp, "%Y-%m-%dT%H:%M:%S", &utc);
  int size = snprintf (line, sizeof line - 1,
                       "time=%s.%03ldZ level=%s program=%s instance=%s event=%s%s%s", timestamp,
                       now.tv_nsec / 1000000, level_names[level], program_name, instance_name,
                       event, pairs[0] == '\0' ? "" : " ", pairs);
  if (size < 0)
    return;
  if (size > (int)sizeof line - 2)
    size = (int)sizeof line - 2;
  line[size] = '\n';
  /* One write() per line, so that lines of different threads and processes are not interleaved. If
   * the pipe is full, the line is dropped rather than blocking the process; report_dropped_lines()
   * reports the number of dropped lines. */
  if (write (STDOUT_FILENO, line, (size_t)size + 1) < 0)
    dropped_lines++;
}

static void
report_dropped_lines (void)
{
  char pairs[64];
  unsigned dropped_count = atomic_exchange (&dropped_lines, 0);
  if (dropped_count == 0)
    return;
  snprintf (pairs, sizeof pairs, "count=%u reason=\"the log reader is too slow\"", dropped_count);
  write_line (LOG_WARNING, "log-lines-lost", pairs);
}

static time_t
monotonic_second (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec;
}

static void
close_window (RateWindow *window)
{
  if (window->suppressed > 0)
    {
      char pairs[96];
      snprintf (pairs, sizeof pairs, "suppressed_event=%.47s count=%u window_s=%d", window->event,
                window->suppressed, KQ_LOG_WINDOW_S);
      write_line (LOG_WARNING, "log-suppressed", pairs);
    }
  window->event[0] = '\0';
}

static void
close_expired_windows (time_t now)
{
  for (unsigned i = 0; i < RATE_WINDOWS_MAX; i++)
    if (windows[i].event[0] != '\0' && now - windows[i].start >= KQ_LOG_WINDOW_S)
      close_window (&windows[i]);
}

static RateWindow *
find_window (const char *event, time_t now)
{
  RateWindow *unused = NULL;
  for (unsigned i = 0; i < RATE_WINDOWS_MAX; i++)
    {
      if (strncmp (windows[i].event, event, EVENT_BYTES - 1) == 0)
        return &windows[i];
      if (unused == NULL && windows[i].event[0] == '\0')
        unused = &windows[i];
    }
  if (unused != NULL)
    {
      snprintf (unused->event, sizeof unused->event, "%s", event);
      unused->start = now;
      unused->logged = 0;
      unused->suppressed = 0;
    }
  return unused;
}

static bool
is_within_rate_limit (const char *event)
{
  bool within_limit = true;
  time_t now = monotonic_second ();
  pthread_mutex_lock (&window_lock);
  close_expired_windows (now);
  RateWindow *window = find_window (event, now);
  if (window != NULL && window->logged >= KQ_LOG_BURST)
    {
      window->suppressed++;
      within_limit = false;
    }
  else if (window != NULL)
    window->logged++;
  pthread_mutex_unlock (&window_lock);
  return within_limit;
}

void
kq_log_flush (void)
{
  report_dropped_lines ();
  pthread_mutex_lock (&window_lock);
  close_expired_windows (monotonic_second ());
  pthread_mutex_unlock (&window_lock);
}

void
kq_log (int level, const char *event, const char *format, ...)
{
  char pairs[LINE_BYTES / 2];
  if (level > max_level || level < LOG_EMERG || level > LOG_DEBUG || !is_within_rate_limit (event))
    return;
  va_list args;
  va_start (args, format);
  vsnprintf (pairs, sizeof pairs, format, args);
  va_end (args);
  write_line (level, event, pairs);
}

const char *
kq_log_quote (const char *text, char out[KQ_LOG_QUOTE_BYTES])
{
  size_t size = 0;
  out[size++] = '"';
  for (const char *c = text; *c != '\0' && size < KQ_LOG_QUOTE_BYTES - 6; c++)
    {
      unsigned char byte = (unsigned char)*c;
      if (byte == '"' || byte == '\\')
        {
          out[size++] = '\\';
          out[size++] = *c;
        }
      else if (byte < 0x20 || byte == 0x7f)
        size += (size_t)snprintf (out + size, KQ_LOG_QUOTE_BYTES - size, "\\x%02x", byte);
      else
        out[size++] = *c;
    }
  out[size++] = '"';
  out[size] = '\0';
  return out;
}
