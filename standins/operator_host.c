/* Stand-in balancer that serves the operator interface; see standins/lib/operator_host.h. */

#include <popt.h>
#include <stdio.h>
#include <talloc.h>

#include "kumquat/log.h"
#include "operator_host.h"

int
main (int argc, const char **argv)
{
  const char *listen_text = "127.0.0.1:0";
  const char *store_text = NULL;
  const char *key = NULL;
  struct poptOption options[] = {
    { "listen", 'l', POPT_ARG_STRING, &listen_text, 0, "address of the operator interface",
      "ADDRESS" },
    { "store", 's', POPT_ARG_STRING, &store_text, 0, "address of the store", "ADDRESS" },
    { "key", 'k', POPT_ARG_STRING, &key, 0, "operator key", "KEY" },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  KqAddress listen_address;
  KqAddress store;
  KqError error = { 0 };
  void *mem_ctx = talloc_new (NULL);
  struct tevent_context *ev = tevent_context_init (mem_ctx);
  int status = 1;
  poptContext context = poptGetContext ("standin-operator_host", argc, argv, options, 0);
  kq_log_open ("standin-operator_host", "host", LOG_ERR);
  if (poptGetNextOpt (context) < -1 || store_text == NULL)
    kq_error_set (&error, KQ_ERROR_INVALID, "unknown option or no --store; see --help");
  else if (kq_address_parse (listen_text, &listen_address, &error) == 0 &&
           kq_address_parse (store_text, &store, &error) == 0)
    {
      OperatorHost *host = operator_host_new (mem_ctx, ev, &listen_address, &store, key, &error);
      if (host != NULL)
        {
          printf ("listening 127.0.0.1:%u\n", operator_host_port (host));
          fflush (stdout);
          status = tevent_loop_wait (ev);
        }
    }
  if (error.kind != KQ_ERROR_NONE)
    fprintf (stderr, "%s\n", error.message);
  poptFreeContext (context);
  talloc_free (mem_ctx);
  return status;
}
