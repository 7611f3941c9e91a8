/* Checks a file with a configuration of streams, in the format of the platform. */

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/ctl.h"
#include "kumquat/document.h"
#include "kumquat/internal/ctl_impl.h"
#include "kumquat/internal/route_check.h"

#define READ_BYTES 65536

/**
 * struct CheckRun - findings of one run
 * @problems: findings other than changes
 * @changes: differences from the configuration in force
 * @list: (nullable): JSON array of the findings; NULL prints them as text
 */
typedef struct
{
  unsigned problems;
  unsigned changes;
  json_t *list;
} CheckRun;

static void
format_route (const KqRouteFinding *finding, char text[INET_ADDRSTRLEN + 8])
{
  struct in_addr ip = { .s_addr = htonl (finding->ip) };
  char address[INET_ADDRSTRLEN];
  text[0] = '\0';
  if (finding->ip != 0)
    snprintf (text, INET_ADDRSTRLEN + 8, "%s:%u", inet_ntop (AF_INET, &ip, address, sizeof address),
              finding->port);
}

static void
print_finding (const KqRouteFinding *finding, void *data)
{
  CheckRun *check = data;
  char route[INET_ADDRSTRLEN + 8];
  const char *kind = kq_route_finding_kind_name (finding->kind);
  format_route (finding, route);
  *(finding->kind == KQ_ROUTE_FINDING_CHANGE ? &check->changes : &check->problems) += 1;
  if (check->list != NULL)
    json_array_append_new (check->list, json_pack ("{s:s, s:s, s:s}", "kind", kind, "route", route,
                                                   "text", finding->text));
  else if (route[0] == '\0')
    printf ("%s: %s\n", kind, finding->text);
  else
    printf ("%s: route %s %s\n", kind, route, finding->text);
}

/* Return: (owned by @parent) the content of the file, or NULL; errors are printed. */
static char *
read_file (const void *parent, const char *path, size_t *size)
{
  FILE *file = fopen (path, "r");
  char *text = talloc_strdup (parent, "");
  *size = 0;
  if (file == NULL)
    {
      fprintf (stderr, "%s: %s; check the path\n", path, strerror (errno));
      return NULL;
    }
  while (text != NULL && *size <= KQ_DOCUMENT_BYTES)
    {
      text = talloc_realloc (parent, text, char, *size + READ_BYTES);
      size_t got = text == NULL ? 0 : fread (text + *size, 1, READ_BYTES, file);
      *size += got;
      if (got == 0)
        break;
    }
  fclose (file);
  return text;
}

/* Return: (owned by @parent) the routes of the file, or NULL; errors are printed. */
static KqRouteTable *
read_routes (const void *parent, const KqStreamAdapter *adapter, const char *path)
{
  KqError error = { 0 };
  size_t size;
  char *text = read_file (parent, path, &size);
  if (text == NULL)
    return NULL;
  if (size > KQ_DOCUMENT_BYTES)
    {
      fprintf (stderr, "%s: the configuration has more than %u bytes; reduce it\n", path,
               KQ_DOCUMENT_BYTES);
      return NULL;
    }
  KqRouteTable *routes = adapter->decode_routes (parent, text, size, &error);
  if (routes == NULL)
    fprintf (stderr, "%s: %s\n", path, error.message);
  return routes;
}

static int
check_file (const KqCtl *ctl, const void *scope)
{
  CheckRun check = { .list = ctl->json ? json_array () : NULL };
  KqRouteTable *routes = read_routes (scope, ctl->adapter, ctl->arguments[1]);
  KqRouteTable *in_force =
      ctl->against_file == NULL ? NULL : read_routes (scope, ctl->adapter, ctl->against_file);
  if (routes == NULL || (in_force == NULL && ctl->against_file != NULL))
    {
      json_decref (check.list);
      return KQ_CTL_USAGE;
    }
  kq_route_check (routes, in_force, print_finding, &check);
  if (check.list != NULL)
    {
      json_t *answer =
          json_pack ("{s:I, s:i, s:i, s:i, s:o}", "version", (json_int_t)routes->version, "routes",
                     (int)routes->count, "problems", (int)check.problems, "changes",
                     (int)check.changes, "findings", check.list);
      json_dumpf (answer, stdout, JSON_INDENT (2));
      printf ("\n");
      json_decref (answer);
    }
  else
    printf ("version %llu: %u routes, %u problems, %u changes\n",
            (unsigned long long)routes->version, routes->count, check.problems, check.changes);
  return check.problems > 0 ? KQ_CTL_REFUSED : KQ_CTL_OK;
}

int
kq_ctl_check (const KqCtl *ctl)
{
  if (ctl->count != 2)
    {
      fprintf (stderr, "usage: kumquatctl check FILE [--against FILE] [--json]\n");
      return KQ_CTL_USAGE;
    }
  void *scope = talloc_new (NULL);
  int status = check_file (ctl, scope);
  talloc_free (scope);
  return status;
}
