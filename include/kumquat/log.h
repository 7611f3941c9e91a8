/* One line of key=value pairs on standard output for each event, with syslog levels. Writing never
 * blocks. */
#pragma once

#include <syslog.h>

/** kq_log_open - sets the program's name, its instance's name and the least severe level shown */
void kq_log_open (const char *program, const char *instance, int level);

/** kq_log_set_level - changes the least severe level shown (LOG_ERR to LOG_DEBUG) */
void kq_log_set_level (int level);

/**
 * kq_log - writes one event
 * @level: syslog level, LOG_ERR to LOG_DEBUG
 * @event: (borrowed): stable name of the event in lower case with hyphens, listed in
 *   docs/reference/events.md
 * @format: printf format of further key=value pairs, separated by spaces; quote text values with
 *   kq_log_quote(); may be ""
 *
 * An event name that repeats more than KQ_LOG_BURST times in KQ_LOG_WINDOW_S seconds is suppressed
 * and counted; the count is written when the window ends. Threads may log at the same time.
 */
#define KQ_LOG_BURST    20
#define KQ_LOG_WINDOW_S 5
void kq_log (int level, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#define KQ_LOG_QUOTE_BYTES 512

/** kq_log_quote - Return: @out with @text in double quotes, control characters and quotes escaped
 */
const char *kq_log_quote (const char *text, char out[KQ_LOG_QUOTE_BYTES]);

/** kq_log_flush - writes the counts of suppressed events whose window ended; call it each second */
void kq_log_flush (void);

/** kq_log_level_parse - Return: the level named "error", "warning", "notice", "info" or "debug", or
 * -1 */
int kq_log_level_parse (const char *name);
