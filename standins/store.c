/* Stand-in for the platform's key-value store; see standins/lib/store_server.h. */

#include <popt.h>
#include <stdio.h>
#include <talloc.h>
#include <tevent.h>

#include "store_server.h"

int
main (int argc, const char **argv)
{
  const char *listen_text = "127.0.0.1:0";
  const char *admin_text = NULL;
  struct poptOption options[] = {
    { "listen", 'l', POPT_ARG_STRING, &listen_text, 0, "address of the gateway", "ADDRESS" },
    { "admin", 'a', POPT_ARG_STRING, &admin_text, 0, "address of the fault interface", "ADDRESS" },
    POPT_AUTOHELP POPT_TABLEEND,
  };
  KqAddress listen_address;
  KqAddress admin;
  KqError error = { 0 };
  int status = 1;
  void *mem_ctx = talloc_new (NULL);
  struct tevent_context *ev = tevent_context_init (mem_ctx);
  poptContext context = poptGetContext ("standin-store", argc, argv, options, 0);
  if (poptGetNextOpt (context) < -1)
    kq_error_set (&error, KQ_ERROR_INVALID, "unknown option; see --help");
  else if (kq_address_parse (listen_text, &listen_address, &error) == 0 &&
           (admin_text == NULL || kq_address_parse (admin_text, &admin, &error) == 0))
    {
      StoreServer *server = store_server_new (mem_ctx, ev, &listen_address,
                                              admin_text == NULL ? NULL : &admin, &error);
      if (server != NULL)
        {
          printf ("listening 127.0.0.1:%u\n", store_server_port (server));
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
