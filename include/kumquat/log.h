/* Structured logging: one line of key=value pairs per event on standard output, with syslog levels.
 * Writing to a pipe never blocks. */
#pragma once

#include <syslog.h>

/** kq_log_open - sets the program name, the instance name and the least severe level logged */
void kq_log_open (const char *program, const char *instance, int level);

/** kq_log_set_level - sets the least severe level logged (LOG_ERR to LOG_DEBUG) */
void kq_log_set_level (int level);

/**
 * kq_log - logs an event
 * @level: syslog level, LOG_ERR to LOG_DEBUG
 * @event: (borrowed): stable name of the event in lower case with hyphens, listed in
 *   docs/reference/events.md
 * @format: printf format of additional key=value pairs, separated by spaces; quote string values
 *   with kq_log_quote(); may be ""
 *
 * More than KQ_LOG_BURST events with the same name in KQ_LOG_WINDOW_S seconds are suppressed; their
 * number is logged when the window ends. This function is thread-safe.
 */
#define KQ_LOG_BURST    20
#define KQ_LOG_WINDOW_S 5
void kq_log (int level, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#define KQ_LOG_QUOTE_BYTES 512

/** kq_log_quote - Return: @out with @text in double quotes, control characters and quotes escaped
 */
const char *kq_log_quote (const char *text, char out[KQ_LOG_QUOTE_BYTES]);

/** kq_log_flush - logs the counts of dropped lines and suppressed events; call it every second */
void kq_log_flush (void);

/** kq_log_level_parse - Return: the level named "error", "warning", "notice", "info" or "debug", or
 * -1 */
int kq_log_level_parse (const char *name);
