#include <errno.h>
#include <poll.h>
#include <popt.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>

#include "kumquat/ctl.h"
#include "kumquat/internal/ctl_impl.h"

#define DEFAULT_SERVER   "127.0.0.1:6200"
#define CALL_TIMEOUT_US  (30 * KQ_SECOND)
#define KEY_BYTES        256
#define POLL_INTERVAL_MS 100
#define WATCH_TIMEOUT_S  30

/**
 * struct CallResult - response to a request
 * @done: the request has completed
 * @status: HTTP status, 0 without a response
 * @json: (nullable): the body
 */
typedef struct
{
  bool done;
  unsigned status;
  json_t *json;
} CallResult;

const char *
kq_ctl_json_text (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  return text == NULL ? "" : text;
}

double
kq_ctl_json_number (const json_t *object, const char *key)
{
  return json_number_value (json_object_get (object, key));
}

static void
on_done (const KqHttpResult *result, void *data)
{
  CallResult *call_result = data;
  call_result->done = true;
  if (!result->answered)
    return;
  call_result->status = result->status;
  call_result->json = json_loadb (result->body, result->size, 0, NULL);
}

static int
read_key (const KqCtl *ctl, char key[KEY_BYTES])
{
  const char *from_environment = getenv ("KUMQUAT_KEY");
  key[0] = '\0';
  if (ctl->key_file == NULL)
    {
      snprintf (key, KEY_BYTES, "%s", from_environment == NULL ? "" : from_environment);
      return 0;
    }
  FILE *file = fopen (ctl->key_file, "r");
  if (file == NULL || fgets (key, KEY_BYTES, file) == NULL)
    {
      fprintf (stderr, "%s: cannot read the operator key; check --key-file\n", ctl->key_file);
      if (file != NULL)
        fclose (file);
      return -1;
    }
  fclose (file);
  key[strcspn (key, "\r\n")] = '\0';
  return 0;
}

int
kq_ctl_call (const char *server, KqHttpParams *params, const bool *done)
{
  KqError error = { 0 };
  if (kq_address_parse (server, &params->address, &error) < 0)
    {
      fprintf (stderr, "%s\n", error.message);
      return -1;
    }
  struct tevent_context *ev = tevent_context_init (NULL);
  KqHttpClient *http = kq_http_client_new (ev, ev, &error);
  if (http != NULL)
    kq_http_call (http, params);
  while (http != NULL && !*done)
    tevent_loop_once (ev);
  talloc_free (ev);
  return 0;
}

json_t *
kq_ctl_call_json (const KqCtl *ctl, const char *method, const char *path, const char *body,
                  unsigned *status)
{
  char key[KEY_BYTES];
  CallResult call_result = { 0 };
  const char *environment = getenv ("KUMQUAT_SERVER");
  const char *server = ctl->server != NULL ? ctl->server : environment;
  KqHttpParams params = { .method = method,
                          .path = path,
                          .body = body,
                          .timeout_us = CALL_TIMEOUT_US,
                          .done = on_done,
                          .data = &call_result };
  *status = 0;
  if (read_key (ctl, key) < 0)
    return NULL;
  params.bearer = key[0] == '\0' ? NULL : key;
  server = server == NULL ? DEFAULT_SERVER : server;
  if (kq_ctl_call (server, &params, &call_result.done) < 0)
    return NULL;
  if (call_result.json == NULL)
    fprintf (stderr, "%s did not answer; check --server, or ask another balancer\n", server);
  *status = call_result.status;
  return call_result.json;
}

int
kq_ctl_exit_status (unsigned status, const json_t *answer)
{
  const char *error = kq_ctl_json_text (answer, "error");
  if (answer == NULL)
    return KQ_CTL_UNAVAILABLE;
  if (status == 200)
    return KQ_CTL_OK;
  fprintf (stderr, "%s: %s\n", error, kq_ctl_json_text (answer, "message"));
  size_t index;
  const json_t *item;
  json_array_foreach (json_object_get (answer, "difference"), index, item)
  {
    fprintf (stderr, "  service %s, revision %.0f -> %.0f: %s\n",
             kq_ctl_json_text (item, "service"), kq_ctl_json_number (item, "base_revision"),
             kq_ctl_json_number (item, "present_revision"), kq_ctl_json_text (item, "changed"));
  }
  if (status == 401)
    return KQ_CTL_DENIED;
  if (status == 409)
    return KQ_CTL_CONFLICT;
  if (strcmp (error, "unknown-outcome") == 0)
    return KQ_CTL_UNKNOWN;
  return status == 503 ? KQ_CTL_UNAVAILABLE : KQ_CTL_FAILED;
}

static void
print_json (const json_t *root)
{
  json_dumpf (root, stdout, JSON_COMPACT | JSON_SORT_KEYS);
  putchar ('\n');
}

static int
write_plan (const KqCtl *ctl, const json_t *plan)
{
  if (ctl->plan_file == NULL)
    return 0;
  if (json_dump_file (plan, ctl->plan_file, JSON_COMPACT | JSON_SORT_KEYS) == 0)
    return 0;
  fprintf (stderr, "%s: %s; choose another --out\n", ctl->plan_file, strerror (errno));
  return -1;
}

static int
run_plan (const KqCtl *ctl)
{
  unsigned status;
  char *request = kq_ctl_plan_request (ctl);
  if (request == NULL)
    return KQ_CTL_USAGE;
  json_t *plan = kq_ctl_call_json (ctl, "POST", "/v1/plan", request, &status);
  free (request);
  int result = kq_ctl_exit_status (status, plan);
  if (result == KQ_CTL_OK)
    {
      if (ctl->json)
        print_json (plan);
      else
        kq_ctl_print_plan (stdout, plan);
      if (json_array_size (json_object_get (plan, "refusals")) > 0)
        result = KQ_CTL_REFUSED;
      else if (write_plan (ctl, plan) < 0)
        result = KQ_CTL_FAILED;
      else if (!ctl->json && ctl->plan_file != NULL)
        printf ("nothing has changed yet; next: kumquatctl confirm %s\n", ctl->plan_file);
    }
  json_decref (plan);
  return result;
}

static json_t *
load_plan (const KqCtl *ctl)
{
  json_error_t parse_error;
  if (ctl->count != 2 || ctl->arguments[1] == NULL)
    {
      fprintf (stderr, "usage: kumquatctl %s PLAN-FILE\n", ctl->arguments[0]);
      return NULL;
    }
  json_t *plan = json_load_file (ctl->arguments[1], JSON_REJECT_DUPLICATES, &parse_error);
  if (plan == NULL)
    fprintf (stderr, "%s:%d: not a plan: %s; write one with kumquatctl plan --out\n",
             ctl->arguments[1], parse_error.line < 0 ? 1 : parse_error.line, parse_error.text);
  return plan;
}

static int
run_confirm (const KqCtl *ctl)
{
  unsigned status;
  json_t *plan = load_plan (ctl);
  if (plan == NULL)
    return KQ_CTL_USAGE;
  char *body = json_dumps (plan, JSON_COMPACT);
  json_t *answer = kq_ctl_call_json (ctl, "POST", "/v1/confirm", body, &status);
  free (body);
  json_decref (plan);
  const char *outcome = kq_ctl_json_text (answer, "outcome");
  if (ctl->json && answer != NULL)
    print_json (answer);
  else if (strcmp (outcome, "yes") == 0)
    printf ("yes: %s\n", kq_ctl_json_text (answer, "message"));
  else if (outcome[0] != '\0')
    printf ("%s\n", strcmp (outcome, "unknown") == 0 ? "not known yet" : outcome);
  int result = kq_ctl_exit_status (status, answer);
  /* The balancer may have terminated after it sent the write to the store. */
  if (answer == NULL)
    {
      fprintf (stderr, "confirm the same plan again, which is one change\n");
      result = KQ_CTL_UNKNOWN;
    }
  json_decref (answer);
  return result;
}

static char *
operation_path (const json_t *plan)
{
  size_t index;
  const json_t *change;
  char *path =
      talloc_asprintf (NULL, "/v1/operations/%s?services=", kq_ctl_json_text (plan, "operation"));
  json_array_foreach (json_object_get (plan, "changes"), index, change)
  {
    path = talloc_asprintf_append (path, "%s%.0f", index == 0 ? "" : ",",
                                   kq_ctl_json_number (change, "number"));
  }
  return path;
}

static void
print_progress (const json_t *answer)
{
  size_t index;
  const json_t *service;
  json_array_foreach (json_object_get (answer, "services"), index, service)
  {
    const json_t *in_force = json_object_get (service, "in_force");
    const json_t *laggards = json_object_get (in_force, "laggards");
    printf ("service %s revision %.0f: balancers %.0f/%.0f, agents %.0f/%.0f",
            kq_ctl_json_text (service, "service"), kq_ctl_json_number (service, "revision"),
            kq_ctl_json_number (in_force, "balancers_in_force"),
            kq_ctl_json_number (in_force, "balancers"),
            kq_ctl_json_number (in_force, "agents_in_force"),
            kq_ctl_json_number (in_force, "agents"));
    for (size_t i = 0; i < json_array_size (laggards); i++)
      printf ("%s%s", i == 0 ? ", waiting for " : " ",
              json_string_value (json_array_get (laggards, i)));
    putchar ('\n');
  }
  fflush (stdout);
}

static int
watch_operation (const KqCtl *ctl, const char *path)
{
  int timeout_s = ctl->timeout_s > 0 ? ctl->timeout_s : WATCH_TIMEOUT_S;
  json_t *last = NULL;
  int result = KQ_CTL_FAILED;
  for (int i = 0; i < timeout_s * 1000 / POLL_INTERVAL_MS; i++)
    {
      unsigned status;
      json_t *answer = kq_ctl_call_json (ctl, "GET", path, NULL, &status);
      result = kq_ctl_exit_status (status, answer);
      bool complete = json_is_true (json_object_get (answer, "in_force"));
      if (result == KQ_CTL_OK && !json_equal (answer, last))
        {
          if (ctl->json)
            print_json (answer);
          else
            print_progress (answer);
        }
      json_decref (last);
      last = answer;
      if (result != KQ_CTL_OK || complete)
        break;
      result = KQ_CTL_FAILED;
      poll (NULL, 0, POLL_INTERVAL_MS);
    }
  json_decref (last);
  if (result == KQ_CTL_OK && !ctl->json)
    printf ("in force everywhere\n");
  else if (result == KQ_CTL_FAILED)
    fprintf (stderr, "not in force everywhere after %d s; see kumquatctl status\n", timeout_s);
  return result;
}

static int
run_watch (const KqCtl *ctl)
{
  json_t *plan = load_plan (ctl);
  if (plan == NULL)
    return KQ_CTL_USAGE;
  char *path = operation_path (plan);
  int result = watch_operation (ctl, path);
  talloc_free (path);
  json_decref (plan);
  return result;
}

static int
write_page (const KqCtl *ctl, const json_t *report)
{
  FILE *file = fopen (ctl->html_file, "w");
  if (file == NULL)
    {
      fprintf (stderr, "%s: %s; choose another --html\n", ctl->html_file, strerror (errno));
      return KQ_CTL_FAILED;
    }
  kq_ctl_write_page (file, report);
  return fclose (file) == 0 ? KQ_CTL_OK : KQ_CTL_FAILED;
}

static int
run_show (const KqCtl *ctl, const char *path, void (*print) (FILE *out, const json_t *answer))
{
  unsigned status;
  json_t *answer = kq_ctl_call_json (ctl, "GET", path, NULL, &status);
  int result = kq_ctl_exit_status (status, answer);
  if (result == KQ_CTL_OK && ctl->json)
    print_json (answer);
  else if (result == KQ_CTL_OK)
    print (stdout, answer);
  if (result == KQ_CTL_OK && ctl->html_file != NULL && print == kq_ctl_print_report)
    result = write_page (ctl, answer);
  json_decref (answer);
  return result;
}

static int
run (const KqCtl *ctl)
{
  const char *command = ctl->arguments[0] == NULL ? "" : ctl->arguments[0];
  if (strcmp (command, "plan") == 0)
    return run_plan (ctl);
  if (strcmp (command, "confirm") == 0)
    return run_confirm (ctl);
  if (strcmp (command, "watch") == 0)
    return run_watch (ctl);
  if (strcmp (command, "status") == 0)
    return run_show (ctl, "/v1/status", kq_ctl_print_status);
  if (strcmp (command, "services") == 0)
    return run_show (ctl, "/v1/services", kq_ctl_print_services);
  if (strcmp (command, "report") == 0)
    return run_show (ctl, "/v1/report", kq_ctl_print_report);
  if (strcmp (command, "streams") == 0)
    return kq_ctl_streams (ctl);
  if (strcmp (command, "check") == 0)
    return kq_ctl_check (ctl);
  fprintf (stderr,
           "%s: unknown command; use plan, confirm, watch, status, services, report, streams or "
           "check\n",
           command);
  return KQ_CTL_USAGE;
}

int
kq_ctl_main (int argc, const char **argv, const KqStreamAdapter *adapter)
{
  static const char *no_arguments[] = { NULL };
  KqCtl ctl = { .adapter = adapter };
  int version = 0;
  struct poptOption table[] = {
    { "server", 's', POPT_ARG_STRING, &ctl.server, 0,
      "a balancer's HTTP address (KUMQUAT_SERVER, else " DEFAULT_SERVER ")", "ADDRESS" },
    { "key-file", 'k', POPT_ARG_STRING, &ctl.key_file, 0,
      "file with the operator key (KUMQUAT_KEY)", "FILE" },
    { "json", 'j', POPT_ARG_NONE, &ctl.json, 0, "print JSON", NULL },
    { "out", 'o', POPT_ARG_STRING, &ctl.plan_file, 0, "plan: write the plan to FILE", "FILE" },
    { "file", 'f', POPT_ARG_STRING, &ctl.toml_file, 0,
      "plan: complete configuration from a TOML file", "FILE" },
    { "html", 0, POPT_ARG_STRING, &ctl.html_file, 0, "report: write a page with plots to FILE",
      "FILE" },
    { "against", 'a', POPT_ARG_STRING, &ctl.against_file, 0,
      "check: file with the configuration in force", "FILE" },
    { "timeout", 't', POPT_ARG_INT, &ctl.timeout_s, 0, "watch: give up after SECONDS (30)",
      "SECONDS" },
    { "version", 'V', POPT_ARG_NONE, &version, 0, "print the version", NULL },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  int result;
  poptContext context = poptGetContext ("kumquatctl", argc, argv, table, 0);
  poptSetOtherOptionHelp (context,
                          "plan|confirm|watch|status|services|report|streams|check [ARGUMENT...]");
  int code = poptGetNextOpt (context);
  const char **arguments = poptGetArgs (context);
  ctl.arguments = arguments == NULL ? no_arguments : arguments;
  while (ctl.arguments[ctl.count] != NULL)
    ctl.count++;
  if (code < -1)
    {
      fprintf (stderr, "%s: %s; see --help\n", poptBadOption (context, 0), poptStrerror (code));
      result = KQ_CTL_USAGE;
    }
  else if (version)
    {
      printf ("kumquatctl %s\n", KQ_VERSION);
      result = KQ_CTL_OK;
    }
  else
    result = run (&ctl);
  free (ctl.server);
  free (ctl.key_file);
  free (ctl.plan_file);
  free (ctl.toml_file);
  free (ctl.html_file);
  free (ctl.against_file);
  poptFreeContext (context);
  return result;
}
