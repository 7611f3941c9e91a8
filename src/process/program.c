#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/log.h"
#include "kumquat/program.h"

/**
 * struct KqProgram - a running daemon
 * @ops: operations of the daemon
 * @path: path of the settings file
 * @settings: current settings
 * @ev: the event loop
 * @state: state returned by @ops->start
 * @stopping: SIGTERM or SIGINT was received
 * @quit: set to leave the event loop
 * @status: exit status
 */
struct KqProgram
{
  const KqProgramOps *ops;
  char *path;
  KqSettings *settings;
  struct tevent_context *ev;
  void *state;
  bool stopping;
  bool quit;
  int status;
};

/**
 * struct Options - parsed command line options
 */
typedef struct
{
  char *path;
  char *log_level;
  int check;
  int version;
} Options;

void
kq_program_quit (KqProgram *program, int status)
{
  program->quit = true;
  program->status = status;
}

const void *
kq_program_data (const KqProgram *program)
{
  return program->ops->data;
}

static KqSettings *
load_settings (KqProgram *program, KqError *error)
{
  const KqProgramOps *ops = program->ops;
  KqSettings *settings =
      kq_settings_load (program, program->path, ops->specs, ops->spec_count, error);
  if (settings != NULL && ops->check != NULL && ops->check (settings, program->path, error) < 0)
    {
      talloc_free (settings);
      return NULL;
    }
  return settings;
}

static void
on_stop_signal (struct tevent_context *ev, struct tevent_signal *signal, int number, int count,
                void *info, void *data)
{
  KqProgram *program = data;
  (void)ev;
  (void)signal;
  (void)count;
  (void)info;
  if (program->stopping)
    {
      kq_log (LOG_WARNING, "stop-forced", "signal=%d", number);
      kq_program_quit (program, KQ_EXIT_FAILED);
      return;
    }
  program->stopping = true;
  kq_log (LOG_NOTICE, "stopping", "signal=%d", number);
  program->ops->stop (program->state);
}

static void
on_reload_signal (struct tevent_context *ev, struct tevent_signal *signal, int number, int count,
                  void *info, void *data)
{
  KqProgram *program = data;
  KqError error = { 0 };
  char quoted[KQ_LOG_QUOTE_BYTES];
  (void)ev;
  (void)signal;
  (void)number;
  (void)count;
  (void)info;
  KqSettings *settings = load_settings (program, &error);
  if (settings == NULL)
    {
      kq_log (LOG_ERR, "settings-refused", "error=%s", kq_log_quote (error.message, quoted));
      return;
    }
  kq_log (LOG_NOTICE, "settings-reloaded", "file=%s", kq_log_quote (program->path, quoted));
  if (program->ops->reload != NULL)
    program->ops->reload (program->state, settings);
  talloc_free (program->settings);
  program->settings = settings;
}

static void
on_flush_timer (struct tevent_context *ev, struct tevent_timer *timer, struct timeval now,
                void *data)
{
  KqProgram *program = data;
  (void)timer;
  kq_log_flush ();
  tevent_add_timer (ev, program, tevent_timeval_add (&now, 1, 0), on_flush_timer, program);
}

static int
run_loop (KqProgram *program)
{
  KqError error = { 0 };
  char quoted[KQ_LOG_QUOTE_BYTES];
  program->ev = tevent_context_init (program);
  signal (SIGPIPE, SIG_IGN);
  if (tevent_add_signal (program->ev, program, SIGTERM, 0, on_stop_signal, program) == NULL ||
      tevent_add_signal (program->ev, program, SIGINT, 0, on_stop_signal, program) == NULL ||
      tevent_add_signal (program->ev, program, SIGHUP, 0, on_reload_signal, program) == NULL)
    return KQ_EXIT_FAILED;
  program->state = program->ops->start (program, program->ev, program->settings, &error);
  if (program->state == NULL)
    {
      kq_log (LOG_ERR, "start-failed", "error=%s", kq_log_quote (error.message, quoted));
      return KQ_EXIT_FAILED;
    }
  tevent_add_timer (program->ev, program, tevent_timeval_current_ofs (1, 0), on_flush_timer,
                    program);
  kq_log (LOG_NOTICE, "started", "version=%s", KQ_VERSION);
  while (!program->quit && tevent_loop_once (program->ev) == 0)
    ;
  kq_log (LOG_NOTICE, "stopped", "status=%d", program->status);
  return program->status;
}

static const char *
instance_name (const KqProgram *program)
{
  for (size_t i = 0; i < program->ops->spec_count; i++)
    if (strcmp (program->ops->specs[i].key, "name") == 0)
      return kq_settings_text (program->settings, "name");
  return "-";
}

static int
run_with_options (const KqProgramOps *ops, const Options *options)
{
  int level = kq_log_level_parse (options->log_level == NULL ? "info" : options->log_level);
  if (level < 0)
    {
      fprintf (stderr, "--log-level: '%s' is unknown; use error, warning, notice, info or debug\n",
               options->log_level);
      return KQ_EXIT_SETTINGS;
    }
  if (options->path == NULL)
    {
      fprintf (stderr, "--config: missing; give the path of the settings file, see --help\n");
      return KQ_EXIT_SETTINGS;
    }
  KqProgram *program = talloc_zero (NULL, KqProgram);
  KqError error = { 0 };
  int status = KQ_EXIT_OK;
  program->ops = ops;
  program->path = talloc_strdup (program, options->path);
  program->settings = load_settings (program, &error);
  if (program->settings == NULL)
    {
      fprintf (stderr, "%s\n", error.message);
      status = KQ_EXIT_SETTINGS;
    }
  else if (!options->check)
    {
      kq_log_open (ops->name, instance_name (program), level);
      status = run_loop (program);
    }
  talloc_free (program);
  return status;
}

int
kq_program_run (const KqProgramOps *ops, int argc, const char **argv)
{
  Options options = { 0 };
  struct poptOption table[] = {
    { "config", 'c', POPT_ARG_STRING, &options.path, 0, "read the settings from FILE", "FILE" },
    { "check", 0, POPT_ARG_NONE, &options.check, 0, "only check the settings", NULL },
    { "log-level", 'l', POPT_ARG_STRING, &options.log_level, 0,
      "least severe level shown: error, warning, notice, info (default) or debug", "LEVEL" },
    { "version", 'V', POPT_ARG_NONE, &options.version, 0, "print the version", NULL },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  int status;
  poptContext context = poptGetContext (ops->name, argc, argv, table, 0);
  poptSetOtherOptionHelp (context, ops->summary);
  int code = poptGetNextOpt (context);
  if (code < -1)
    {
      fprintf (stderr, "%s: %s; see --help\n", poptBadOption (context, 0), poptStrerror (code));
      status = KQ_EXIT_SETTINGS;
    }
  else if (poptPeekArg (context) != NULL)
    {
      fprintf (stderr, "%s: unexpected argument; see --help\n", poptPeekArg (context));
      status = KQ_EXIT_SETTINGS;
    }
  else if (options.version)
    {
      printf ("%s %s\n", ops->name, KQ_VERSION);
      status = KQ_EXIT_OK;
    }
  else
    status = run_with_options (ops, &options);
  free (options.path);
  free (options.log_level);
  poptFreeContext (context);
  return status;
}
