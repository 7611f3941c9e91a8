/* Common parts of the stand-in programs: event loop, shutdown, control commands and summary. */
#pragma once

#include <jansson.h>
#include <tevent.h>

#include "kumquat/random.h"
#include "kumquat/types.h"

/**
 * struct Standin - state of a stand-in process
 * @ev: event loop
 * @random: seeded random number generator
 * @ended: set by SIGTERM, SIGINT, the command "quit", end of input or the time limit
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
 * standin_new - creates the event loop; SIGTERM, SIGINT or, if positive, a limit of @seconds end it
 *
 * Return: the stand-in, to be released by talloc_free(); exits the process if out of memory.
 */
Standin *standin_new (uint64_t seed, int seconds);

/** standin_run - dispatches events until @standin has ended */
void standin_run (Standin *standin);

typedef void (*StandinTick) (KqTime now, void *data);

/** standin_tick - calls @tick every @interval microseconds */
void standin_tick (Standin *standin, KqTime interval, StandinTick tick, void *data);

typedef void (*StandinLine) (char *line, void *data);

/** standin_lines - calls @line for each line of standard input; "quit" or end of input ends it */
void standin_lines (Standin *standin, StandinLine line, void *data);

/** standin_ready - writes "ready" to standard error, which the test driver waits for */
void standin_ready (const char *name);

/**
 * standin_summary - writes @summary to @path, or to standard output when @path is NULL
 * @summary: (transfer): released here
 *
 * Return: exit status of the program.
 */
int standin_summary (json_t *summary, const char *path);

/** standin_fail - writes an error line to standard error and exits with status 2 */
void standin_fail (const char *what, const char *remedy) __attribute__ ((noreturn));
