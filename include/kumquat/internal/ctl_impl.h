/* Declarations of kumquatctl, shared by the files ctl*.c. */
#pragma once

#include <jansson.h>
#include <stdio.h>

#include "kumquat/internal/http_client.h"
#include "kumquat/internal/stream_adapter.h"
#include "kumquat/types.h"

/**
 * struct KqCtl - options and arguments of the command line
 * @server: (nullable): address of a balancer's operators' interface
 * @key_file: (nullable): file with the operator key
 * @plan_file: (nullable): file to write the plan to
 * @toml_file: (nullable): file with the complete configuration to plan
 * @html_file: (nullable): file to write the report's HTML page to
 * @against_file: (nullable): file with the configuration in force, for a check
 * @adapter: (borrowed): reads configurations of streams
 * @json: print the server's JSON
 * @timeout_s: timeout of watch in seconds; 0 means the default
 * @arguments: (array): command and its arguments, terminated by NULL
 * @count: length of @arguments
 */
typedef struct
{
  char *server;
  char *key_file;
  char *plan_file;
  char *toml_file;
  char *html_file;
  char *against_file;
  const KqStreamAdapter *adapter;
  int json;
  int timeout_s;
  const char **arguments;
  unsigned count;
} KqCtl;

/**
 * kq_ctl_call - sends one request to @server and waits until its callback has set @done
 *
 * Return: 0, or -1 when @server is not a valid address; errors are printed.
 */
int kq_ctl_call (const char *server, KqHttpParams *params, const bool *done);

/**
 * kq_ctl_call_json - sends one request and waits for the response; errors are printed
 * @body: (nullable): JSON to send
 * @status: (out): HTTP status, 0 without a response
 *
 * Return: (owned by the caller) the JSON of the response, or NULL.
 */
json_t *kq_ctl_call_json (const KqCtl *ctl, const char *method, const char *path, const char *body,
                          unsigned *status);

/** kq_ctl_exit_status - prints the error of a failed request; Return: the exit status for it */
int kq_ctl_exit_status (unsigned status, const json_t *answer);

/** kq_ctl_plan_request - Return: (owned by the caller) the body of a plan request, or NULL; errors
 * are printed */
char *kq_ctl_plan_request (const KqCtl *ctl);

/** kq_ctl_set_setting - sets KEY=VALUE in @object, where dots in KEY separate nested objects;
 * Return: 0 or -1 */
int kq_ctl_set_setting (json_t *object, const char *key, json_t *value);

/** kq_ctl_streams - prints the status of stream balancers and agents; Return: the exit status */
int kq_ctl_streams (const KqCtl *ctl);

/** kq_ctl_check - checks a file with a configuration of streams; Return: the exit status */
int kq_ctl_check (const KqCtl *ctl);

/* Print the JSON of the server's response as human-readable text. */
void kq_ctl_print_plan (FILE *out, const json_t *plan);
void kq_ctl_print_status (FILE *out, const json_t *status);
void kq_ctl_print_services (FILE *out, const json_t *services);
void kq_ctl_print_report (FILE *out, const json_t *report);

/** kq_ctl_write_page - writes the report as a self-contained HTML page */
void kq_ctl_write_page (FILE *out, const json_t *report);

/** kq_ctl_json_text - Return: (borrowed) a string member, or "" */
const char *kq_ctl_json_text (const json_t *object, const char *key);

/** kq_ctl_json_number - Return: a number member, or 0 */
double kq_ctl_json_number (const json_t *object, const char *key);
