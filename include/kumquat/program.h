/* What the mains of the daemons share: options, settings, signals, the event loop. */
#pragma once

#include <tevent.h>

#include "kumquat/settings.h"

#define KQ_EXIT_OK       0
#define KQ_EXIT_FAILED   1
#define KQ_EXIT_SETTINGS 2

typedef struct KqProgram KqProgram;

/**
 * struct KqProgramOps - what one daemon adds
 * @name: name of the program
 * @summary: one line for --help
 * @specs: (array): its settings; a KQ_SETTING_TEXT "name" names the instance in the log
 * @spec_count: length of @specs
 * @check: (nullable): checks that need more than one key; messages as kq_settings_load()'s
 * @start: starts the process; Return: (owned by @program) its state, or NULL with @error set
 * @stop: SIGTERM or SIGINT: begins a graceful shutdown, whose end calls kq_program_quit(); a second
 *   signal ends the program at once
 * @reload: (nullable): SIGHUP: takes settings that were read and checked again
 * @data: context pointer, see kq_program_data()
 *
 * Settings are borrowed until the next reload has returned.
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
 * kq_program_run - the whole main of a daemon
 *
 * Options: --config FILE, --check, --log-level LEVEL, --version, --help. A fault of the settings is
 * one line "FILE:LINE: KEY: what; remedy" on standard error and exit status 2.
 *
 * Return: the exit status.
 */
int kq_program_run (const KqProgramOps *ops, int argc, const char **argv);

/** kq_program_data - Return: (borrowed) the context pointer of the daemon's operations */
const void *kq_program_data (const KqProgram *program);

/** kq_program_quit - ends the event loop with this exit status */
void kq_program_quit (KqProgram *program, int status);
