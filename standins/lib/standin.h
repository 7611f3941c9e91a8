/* What every stand-in shares: its loop, its end, its control lines and its summary. */
#pragma once

#include <jansson.h>
#include <tevent.h>

#include "kumquat/random.h"
#include "kumquat/types.h"

/**
 * struct Standin - one stand-in process
 * @ev: its event loop
 * @random: its seeded generator
 * @ended: SIGTERM, SIGINT, "quit" or the time limit was seen
 */
typedef struct
{
  struct tevent_context *ev;
  KqRandom random;
  bool ended;
} Standin;

/** standin_now - Return: monotonic time in microseconds */
KqTime standin_now (void);

/**
 * standin_new - creates the loop; SIGTERM, SIGINT and @seconds end it
 *
 * Return: the stand-in, to be released by talloc_free(); the process ends without memory.
 */
Standin *standin_new (uint64_t seed, int seconds);

/** standin_run - dispatches events until the end */
void standin_run (Standin *standin);

typedef void (*StandinTick) (KqTime now, void *data);

/** standin_tick - calls @tick every @interval microseconds */
void standin_tick (Standin *standin, KqTime interval, StandinTick tick, void *data);

typedef void (*StandinLine) (char *line, void *data);

/** standin_lines - calls @line for every line on standard input; "quit" and end of input end it */
void standin_lines (Standin *standin, StandinLine line, void *data);

/** standin_ready - writes "ready" on standard error, which the driver waits for */
void standin_ready (const char *name);

/**
 * standin_summary - writes @summary to @path, or to standard output when @path is NULL
 * @summary: (transfer): released here
 *
 * Return: exit status of the program.
 */
int standin_summary (json_t *summary, const char *path);

/** standin_fail - writes the failure and ends the process with status 2 */
void standin_fail (const char *what, const char *remedy) __attribute__ ((noreturn));
