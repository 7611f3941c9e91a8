/* Minimal UDP relay, the baseline of the benchmark: the lowest cost of any user-space hop.
 *
 * Each caller address gets its own connected socket to the upstream, like a NAT. */
#include <arpa/inet.h>
#include <popt.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>
#include <unistd.h>

#include "net.h"
#include "standin.h"

#define CALLERS_MAX   8192
#define RECEIVE_BATCH 64

typedef struct Relay Relay;

/**
 * struct Path - one caller address and its socket to the upstream
 */
typedef struct
{
  Relay *relay;
  struct sockaddr_in caller;
  int fd;
} NatSession;

struct Relay
{
  Standin *standin;
  int fd;
  struct sockaddr_in upstream;
  NatSession *sessions[CALLERS_MAX * 2];
  unsigned count;
  uint64_t forwarded;
};

static void
on_upstream (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags, void *data)
{
  (void)ev;
  (void)event;
  (void)flags;
  NatSession *session = data;
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  ssize_t size;
  for (int i = 0; i < RECEIVE_BATCH && (size = recv (session->fd, bytes, sizeof bytes, 0)) >= 0;
       i++)
    {
      net_send (session->relay->fd, bytes, (size_t)size, &session->caller, NULL);
      session->relay->forwarded++;
    }
}

static NatSession *
find_or_add_session (Relay *relay, const struct sockaddr_in *caller)
{
  uint64_t hash = ((uint64_t)caller->sin_addr.s_addr << 16) ^ caller->sin_port;
  unsigned slot = (unsigned)((hash * 0x9e3779b97f4a7c15u) >> 43) % (CALLERS_MAX * 2);
  for (; relay->sessions[slot] != NULL; slot = (slot + 1) % (CALLERS_MAX * 2))
    if (relay->sessions[slot]->caller.sin_port == caller->sin_port &&
        relay->sessions[slot]->caller.sin_addr.s_addr == caller->sin_addr.s_addr)
      return relay->sessions[slot];
  if (relay->count++ == CALLERS_MAX)
    standin_fail ("callers", "use at most 8192 callers");
  NatSession *session = talloc_zero (relay, NatSession);
  struct sockaddr_in any = net_any (0);
  session->relay = relay;
  session->caller = *caller;
  session->fd = net_udp_socket (&any);
  if (connect (session->fd, (struct sockaddr *)&relay->upstream, sizeof relay->upstream) != 0)
    standin_fail ("connect", "start the upstream first");
  tevent_add_fd (relay->standin->ev, session, session->fd, TEVENT_FD_READ, on_upstream, session);
  relay->sessions[slot] = session;
  return session;
}

static void
on_caller (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags, void *data)
{
  (void)ev;
  (void)event;
  (void)flags;
  Relay *relay = data;
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  struct sockaddr_in from;
  ssize_t size;
  for (int i = 0;
       i < RECEIVE_BATCH && (size = net_receive (relay->fd, bytes, sizeof bytes, &from, NULL)) >= 0;
       i++)
    {
      (void)!send (find_or_add_session (relay, &from)->fd, bytes, (size_t)size, 0);
      relay->forwarded++;
    }
}

int
main (int argc, const char **argv)
{
  static char *listen = NULL;
  static char *upstream = NULL;
  static char *summary = NULL;
  int seconds = 120;
  struct poptOption options[] = {
    { "listen", 0, POPT_ARG_STRING, &listen, 0, "address that callers send to", "IP:PORT" },
    { "upstream", 0, POPT_ARG_STRING, &upstream, 0, "address of the target", "IP:PORT" },
    { "seconds", 0, POPT_ARG_INT, &seconds, 0, "run time limit", "S" },
    { "summary", 0, POPT_ARG_STRING, &summary, 0, "write the summary to this file", "FILE" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext (NULL, argc, argv, options, 0);
  if (poptGetNextOpt (context) < -1 || listen == NULL || upstream == NULL)
    standin_fail ("options", "give --listen and --upstream, see --help");
  Relay *relay = talloc_zero (NULL, Relay);
  struct sockaddr_in address = net_address (listen);
  relay->standin = standin_new (1, seconds);
  relay->upstream = net_address (upstream);
  relay->fd = net_udp_socket (&address);
  tevent_add_fd (relay->standin->ev, relay->standin, relay->fd, TEVENT_FD_READ, on_caller, relay);
  standin_ready ("relay");
  standin_run (relay->standin);
  int status = standin_summary (json_pack ("{s:I,s:I}", "callers", (json_int_t)relay->count,
                                           "passed", (json_int_t)relay->forwarded),
                                summary);
  talloc_free (relay);
  poptFreeContext (context);
  return status;
}
