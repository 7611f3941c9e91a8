/* Common main program of the daemons: options, settings, signals and the event loop. */
#pragma once

#include <tevent.h>

#include "kumquat/settings.h"

#define KQ_EXIT_OK       0
#define KQ_EXIT_FAILED   1
#define KQ_EXIT_SETTINGS 2

typedef struct KqProgram KqProgram;

/**
 * struct KqProgramOps - operations of a daemon
 * @name: name of the program
 * @summary: one line for --help
 * @specs: (array): its settings; the KQ_SETTING_TEXT "name" is the instance name in the log
 * @spec_count: length of @specs
 * @check: (nullable): additional validation, such as of several keys; sets errors in the format of
 *   kq_settings_load()
 * @start: starts the daemon; Return: (owned by @program) its state, or NULL with @error set
 * @stop: called on SIGTERM or SIGINT; starts a graceful shutdown that ends with kq_program_quit();
 *   a second signal terminates the program immediately
 * @reload: (nullable): called on SIGHUP with the reloaded and validated settings
 * @data: context pointer, see kq_program_data()
 *
 * The settings passed to @start and @reload remain valid until the next @reload has returned.
 */
typedef struct
{
  const char *name;
  const char *summary;
  const KqSettingSpec *specs;
  size_t spec_count;
  int (*check) (const KqSettings *settings, const char *path, KqError *error);
  void *(*start) (KqProgram *program, struct tevent_context *ev, const KqSettings *settings,
                  KqError *error);
  void (*stop) (void *state);
  void (*reload) (void *state, const KqSettings *settings);
  const void *data;
} KqProgramOps;

/**
 * kq_program_run - runs a daemon; to be called by main()
 *
 * Options: --config FILE, --check, --log-level LEVEL, --version, --help. Invalid settings are
 * reported as one line "FILE:LINE: KEY: what; remedy" on standard error, with exit status 2.
 *
 * Return: the exit status.
 */
int kq_program_run (const KqProgramOps *ops, int argc, const char **argv);

/** kq_program_data - Return: (borrowed) the context pointer of the daemon's operations */
const void *kq_program_data (const KqProgram *program);

/** kq_program_quit - leaves the event loop; the program exits with @status */
void kq_program_quit (KqProgram *program, int status);
