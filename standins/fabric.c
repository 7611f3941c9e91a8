/* Stand-in for the network fabric: forwards each caller datagram to a random balancer and injects
 * loss, duplication, reordering and delay.
 *
 * Each flow is mapped to its own source address in 127.64.0.0/10, which the balancers see. Any
 * balancer can answer to that address, and the answer is forwarded to the caller of the flow. */
#include <arpa/inet.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "link.h"
#include "net.h"

#define SERVICES_MAX         16
#define BALANCERS_MAX        64
#define FLOWS_MAX            (1u << 20)
#define HASH_SLOTS           (FLOWS_MAX * 2)
#define FIRST_SOURCE_ADDRESS 0x7f400001u /* 127.64.0.1 */
#define RECEIVE_BATCH        64

typedef struct Fabric Fabric;

/**
 * struct Port - sockets of one service port, one for the callers and one for the balancers
 */
typedef struct
{
  Fabric *fabric;
  uint16_t number;
  int caller_fd;
  int balancer_fd;
} ServicePort;

/**
 * struct Flow - flow key: caller address and service port
 */
typedef struct
{
  struct sockaddr_in caller;
  uint16_t port;
} Flow;

struct Fabric
{
  Standin *standin;
  ServicePort ports[SERVICES_MAX];
  unsigned port_count;
  struct in_addr balancers[BALANCERS_MAX];
  unsigned balancer_count;
  Flow *flows;
  unsigned flow_count;
  uint32_t *slots;
  Link up;
  Link down;
  uint64_t unknown_answers;
};

static uint32_t
flow_hash_slot (const Flow *flow)
{
  uint64_t hash = ((uint64_t)flow->caller.sin_addr.s_addr << 32) ^
                  ((uint64_t)flow->caller.sin_port << 16) ^ flow->port;
  hash *= 0x9e3779b97f4a7c15u;
  return (uint32_t)(hash >> 43) % HASH_SLOTS;
}

static unsigned
find_or_add_flow (Fabric *fabric, const Flow *lookup_key)
{
  uint32_t slot = flow_hash_slot (lookup_key);
  for (; fabric->slots[slot] != 0; slot = (slot + 1) % HASH_SLOTS)
    {
      const Flow *flow = &fabric->flows[fabric->slots[slot] - 1];
      if (flow->port == lookup_key->port && flow->caller.sin_port == lookup_key->caller.sin_port &&
          flow->caller.sin_addr.s_addr == lookup_key->caller.sin_addr.s_addr)
        return fabric->slots[slot] - 1;
    }
  if (fabric->flow_count == FLOWS_MAX)
    standin_fail ("flows", "end the run earlier or use fewer callers");
  fabric->flows[fabric->flow_count] = *lookup_key;
  fabric->slots[slot] = ++fabric->flow_count;
  return fabric->flow_count - 1;
}

static void
on_caller (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags, void *data)
{
  (void)ev;
  (void)event;
  (void)flags;
  ServicePort *port = data;
  Fabric *fabric = port->fabric;
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  Flow flow = { .port = port->number };
  ssize_t size;
  for (int i = 0; i < RECEIVE_BATCH && (size = net_receive (port->caller_fd, bytes, sizeof bytes,
                                                            &flow.caller, NULL)) >= 0;
       i++)
    {
      struct in_addr source = { htonl (FIRST_SOURCE_ADDRESS + find_or_add_flow (fabric, &flow)) };
      if (fabric->balancer_count == 0)
        continue;
      uint64_t balancer_index = kq_random_below (&fabric->standin->random, fabric->balancer_count);
      struct sockaddr_in to = { .sin_family = AF_INET,
                                .sin_port = htons (port->number),
                                .sin_addr = fabric->balancers[balancer_index] };
      link_send (&fabric->up, port->balancer_fd, bytes, (size_t)size, &to, &source);
    }
}

static void
on_balancer (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags, void *data)
{
  (void)ev;
  (void)event;
  (void)flags;
  ServicePort *port = data;
  Fabric *fabric = port->fabric;
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  struct sockaddr_in from;
  struct in_addr to;
  ssize_t size;
  for (int i = 0; i < RECEIVE_BATCH &&
                  (size = net_receive (port->balancer_fd, bytes, sizeof bytes, &from, &to)) >= 0;
       i++)
    {
      uint32_t index = ntohl (to.s_addr) - FIRST_SOURCE_ADDRESS;
      if (index >= fabric->flow_count || fabric->flows[index].port != port->number)
        {
          fabric->unknown_answers++;
          continue;
        }
      link_send (&fabric->down, port->caller_fd, bytes, (size_t)size, &fabric->flows[index].caller,
                 NULL);
    }
}

static void
add_port (Fabric *fabric, const char *ip, long number)
{
  if (fabric->port_count == SERVICES_MAX || number <= 0 || number > UINT16_MAX)
    standin_fail ("service", "give at most 16 ports from 1 to 65535");
  ServicePort *port = &fabric->ports[fabric->port_count++];
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)number),
                                 .sin_addr = net_ip (ip) };
  struct sockaddr_in any = net_any (0);
  port->fabric = fabric;
  port->number = (uint16_t)number;
  port->caller_fd = net_udp_socket (&address);
  port->balancer_fd = net_udp_socket (&any);
  tevent_add_fd (fabric->standin->ev, fabric, port->caller_fd, TEVENT_FD_READ, on_caller, port);
  tevent_add_fd (fabric->standin->ev, fabric, port->balancer_fd, TEVENT_FD_READ, on_balancer, port);
}

static void
add_balancer (Fabric *fabric, const char *text)
{
  if (fabric->balancer_count == BALANCERS_MAX)
    standin_fail ("balancer", "give at most 64 balancers");
  fabric->balancers[fabric->balancer_count++] = net_ip (text);
}

static void
remove_balancer (Fabric *fabric, const char *text)
{
  struct in_addr removed = net_ip (text);
  unsigned remaining = 0;
  for (unsigned i = 0; i < fabric->balancer_count; i++)
    if (fabric->balancers[i].s_addr != removed.s_addr)
      fabric->balancers[remaining++] = fabric->balancers[i];
  fabric->balancer_count = remaining;
}

/* Handles "add IP", "remove IP" (balancers) and faults of both directions such as "loss 0.01", see
 * link_set(). */
static void
on_control_line (char *line, void *data)
{
  Fabric *fabric = data;
  char *value = strchr (line, ' ');
  if (value == NULL)
    return;
  *value++ = '\0';
  if (strcmp (line, "add") == 0)
    add_balancer (fabric, value);
  else if (strcmp (line, "remove") == 0)
    remove_balancer (fabric, value);
  else if (!link_set (&fabric->up, line, strtod (value, NULL)) ||
           !link_set (&fabric->down, line, strtod (value, NULL)))
    standin_fail (line, "send add, remove, loss, duplicate, reorder, delay or cut");
}

int
main (int argc, const char **argv)
{
  static char *ip = "127.0.0.10";
  static char *summary = NULL;
  int seed = 1;
  int seconds = 120;
  int control = 0;
  double loss = 0;
  double duplicate = 0;
  double reorder = 0;
  static char *text = NULL;
  struct poptOption options[] = {
    { "ip", 0, POPT_ARG_STRING, &ip, 0, "address that callers send to", "IP" },
    { "service", 0, POPT_ARG_STRING, &text, 's', "port of a service; repeatable", "PORT" },
    { "balancer", 0, POPT_ARG_STRING, &text, 'b', "address of a balancer; repeatable", "IP" },
    { "loss", 0, POPT_ARG_DOUBLE, &loss, 0, "loss probability per direction", "P" },
    { "duplicate", 0, POPT_ARG_DOUBLE, &duplicate, 0, "duplication probability", "P" },
    { "reorder", 0, POPT_ARG_DOUBLE, &reorder, 0, "probability of a delay up to 20 ms", "P" },
    { "seed", 0, POPT_ARG_INT, &seed, 0, "seed of the faults", "N" },
    { "seconds", 0, POPT_ARG_INT, &seconds, 0, "run time limit", "S" },
    { "control", 0, POPT_ARG_NONE, &control, 0, "read control lines from standard input", NULL },
    { "summary", 0, POPT_ARG_STRING, &summary, 0, "write the summary to this file", "FILE" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  Fabric *fabric = talloc_zero (NULL, Fabric);
  static char *services[SERVICES_MAX];
  static char *initial_balancers[BALANCERS_MAX];
  unsigned service_count = 0;
  unsigned initial_balancer_count = 0;
  poptContext context = poptGetContext (NULL, argc, argv, options, 0);
  int option;
  while ((option = poptGetNextOpt (context)) > 0)
    if (option == 'b' && initial_balancer_count < BALANCERS_MAX)
      initial_balancers[initial_balancer_count++] = text;
    else if (service_count < SERVICES_MAX)
      services[service_count++] = text;
  if (option < -1)
    standin_fail (poptBadOption (context, 0), poptStrerror (option));
  fabric->standin = standin_new ((uint64_t)seed, seconds);
  fabric->flows = talloc_zero_array (fabric, Flow, FLOWS_MAX);
  fabric->slots = talloc_zero_array (fabric, uint32_t, HASH_SLOTS);
  fabric->up = (Link){ .standin = fabric->standin,
                       .loss = loss,
                       .duplicate = duplicate,
                       .reorder = reorder,
                       .reorder_us = 20 * KQ_MS };
  fabric->down = fabric->up;
  for (unsigned i = 0; i < initial_balancer_count; i++)
    add_balancer (fabric, initial_balancers[i]);
  for (unsigned i = 0; i < service_count; i++)
    add_port (fabric, ip, strtol (services[i], NULL, 10));
  if (control)
    standin_lines (fabric->standin, on_control_line, fabric);
  standin_ready ("fabric");
  standin_run (fabric->standin);
  json_t *result = json_pack (
      "{s:I,s:I,s:I,s:I,s:I,s:I}", "flows", (json_int_t)fabric->flow_count, "up_passed",
      (json_int_t)fabric->up.passed, "up_lost", (json_int_t)fabric->up.lost, "down_passed",
      (json_int_t)fabric->down.passed, "down_lost", (json_int_t)fabric->down.lost,
      "unknown_answers", (json_int_t)fabric->unknown_answers);
  int status = standin_summary (result, summary);
  talloc_free (fabric->standin);
  talloc_free (fabric);
  poptFreeContext (context);
  return status;
}
