/* Stand-in agent for the benchmark of a single balancer. It announces a target through the real
 * control plane and answers every request itself, without flow state, request guard or target. */
#include <arpa/inet.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "kumquat/control.h"
#include "kumquat/packet.h"
#include "net.h"
#include "standin.h"

#define RECEIVE_BATCH 64
#define KEY_BYTES     32
#define KEY_DIGITS    64

typedef struct
{
  Standin *standin;
  KqControl *control;
  KqControlParams params;
  const char *service;
  bool serving;
  int fd;
  uint64_t answered;
} Agent;

static void
members_changed (void *data)
{
  (void)data;
}

static void
incarnation_changed (uint64_t incarnation, void *data)
{
  (void)incarnation;
  (void)data;
}

/* Starts serving when the configuration document of the service arrives. The document is recognized
 * by a text search for its name in the JSON, without parsing it. */
static void
document_changed (const KqDocument *document, void *data)
{
  Agent *agent = data;
  char wanted[KQ_NAME_BYTES * 2];
  int size = snprintf (wanted, sizeof wanted, "\"name\":\"%s\"", agent->service);
  if (agent->serving || memmem (document->bytes, document->size, wanted, (size_t)size) == NULL)
    return;
  agent->serving = true;
  agent->params.self.service = document->service;
  kq_control_set_service (agent->control, document->service);
  kq_control_set_phase (agent->control, KQ_PHASE_SERVING);
  standin_ready ("serving");
}

static void
answer_request (Agent *agent, const uint8_t *bytes, size_t size)
{
  KqPacket packet;
  uint8_t out[KQ_DATAGRAM_BYTES];
  if (kq_packet_decode (bytes, size, &packet, NULL) < 0 || packet.type != KQ_PACKET_REQUEST)
    return;
  struct sockaddr_in via = { .sin_family = AF_INET, .sin_port = htons (packet.via.port) };
  memcpy (&via.sin_addr, packet.via.ip + 12, sizeof via.sin_addr);
  packet.type = KQ_PACKET_ANSWER;
  packet.from = agent->params.self.peer;
  packet.candidate_count = 0;
  int encoded_size = kq_packet_encode (&packet, out, sizeof out);
  if (encoded_size > 0)
    net_send (agent->fd, out, (size_t)encoded_size, &via, NULL);
  agent->answered++;
}

static void
on_datagram (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags, void *data)
{
  (void)ev;
  (void)event;
  (void)flags;
  Agent *agent = data;
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  struct sockaddr_in from;
  ssize_t size;
  for (int i = 0;
       i < RECEIVE_BATCH && (size = net_receive (agent->fd, bytes, sizeof bytes, &from, NULL)) >= 0;
       i++)
    answer_request (agent, bytes, (size_t)size);
}

static void
join_control_plane (Agent *agent, const char *name, const char *data, const char *control,
                    const char *seed)
{
  static const KqControlOps ops = { .members_changed = members_changed,
                                    .document_changed = document_changed,
                                    .incarnation_changed = incarnation_changed };
  KqError error = { 0 };
  KqControlParams *params = &agent->params;
  KqMember *self = &params->self;
  self->peer.id = kq_hash_name (name);
  self->peer.incarnation = (uint64_t)time (NULL) * 1000000;
  self->role = KQ_ROLE_AGENT;
  self->weight = 100;
  snprintf (self->name, sizeof self->name, "%s", name);
  snprintf (self->failure_domain, sizeof self->failure_domain, "bench");
  if (kq_address_parse (data, &self->peer.data, &error) < 0 ||
      kq_address_parse (control, &self->control, &error) < 0 ||
      kq_address_parse (seed, &params->seeds[0], &error) < 0)
    standin_fail (error.message, "see --help");
  params->seed_count = 1;
  params->probe_interval_us = 500 * KQ_MS;
  params->suspicion_us = 10 * KQ_SECOND;
  params->budget_bytes_per_s = 21000;
  agent->control = kq_control_new (agent->standin, agent->standin->ev, params, &ops, agent, &error);
  if (agent->control == NULL)
    standin_fail (error.message, "see --help");
}

static void
parse_key (const char *text, uint8_t key[KEY_BYTES])
{
  for (unsigned i = 0; i < KEY_BYTES; i++)
    if (sscanf (text + (size_t)2 * i, "%2hhx", &key[i]) != 1)
      standin_fail ("key", "give 64 hexadecimal digits");
}

int
main (int argc, const char **argv)
{
  static char *data = NULL;
  static char *control = NULL;
  static char *seed = NULL;
  static char *key = NULL;
  static char *name = "standin";
  static char *service = "utleie";
  static char *summary = NULL;
  int seconds = 120;
  struct poptOption options[] = {
    { "data", 0, POPT_ARG_STRING, &data, 0, "address of the data port", "IP:PORT" },
    { "control", 0, POPT_ARG_STRING, &control, 0, "address of the control ports", "IP:PORT" },
    { "seed", 0, POPT_ARG_STRING, &seed, 0, "control address of a balancer", "IP:PORT" },
    { "key", 0, POPT_ARG_STRING, &key, 0, "control key, 64 hexadecimal digits", "HEX" },
    { "name", 0, POPT_ARG_STRING, &name, 0, "name of the target", "NAME" },
    { "service", 0, POPT_ARG_STRING, &service, 0, "name of the service", "NAME" },
    { "seconds", 0, POPT_ARG_INT, &seconds, 0, "run time limit", "S" },
    { "summary", 0, POPT_ARG_STRING, &summary, 0, "write the summary to this file", "FILE" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext (NULL, argc, argv, options, 0);
  if (poptGetNextOpt (context) < -1 || data == NULL || control == NULL || seed == NULL ||
      key == NULL || strlen (key) != KEY_DIGITS)
    standin_fail ("options", "give --data, --control, --seed and --key, see --help");
  Agent *agent = talloc_zero (NULL, Agent);
  struct sockaddr_in address = net_address (data);
  agent->standin = standin_new (1, seconds);
  agent->service = service;
  agent->fd = net_udp_socket (&address);
  parse_key (key, agent->params.key);
  join_control_plane (agent, name, data, control, seed);
  tevent_add_fd (agent->standin->ev, agent->standin, agent->fd, TEVENT_FD_READ, on_datagram, agent);
  standin_run (agent->standin);
  int status =
      standin_summary (json_pack ("{s:I}", "answered", (json_int_t)agent->answered), summary);
  talloc_free (agent->standin);
  talloc_free (agent);
  poptFreeContext (context);
  return status;
}
