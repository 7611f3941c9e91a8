/* Fault-injecting proxy for UDP and TCP.
 *
 * A UDP rule preserves the client's source IP address towards the upstream. Control lines:
 *
 *   NAME up|down|both loss|duplicate|reorder|delay|cut VALUE   (UDP)
 *   NAME block IP, NAME unblock IP                             (UDP, both directions)
 *   NAME hold 0|1, NAME refuse 0|1, NAME reset, NAME lose-answers N, NAME delay MS   (TCP)
 */
#include <arpa/inet.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "link.h"
#include "net.h"
#include "tcp_pipe.h"

#define RULES_MAX   64
#define CLIENTS_MAX 256
#define BLOCKED_MAX 16
#define WORDS_MAX   4

typedef struct UdpRule UdpRule;

/**
 * struct UdpClient - one client address of a rule and its socket to the upstream
 */
typedef struct
{
  UdpRule *rule;
  struct sockaddr_in address;
  int fd;
} UdpClient;

struct UdpRule
{
  Standin *standin;
  char name[KQ_NAME_BYTES];
  struct sockaddr_in upstream;
  int fd;
  Link up;
  Link down;
  UdpClient *clients[CLIENTS_MAX];
  unsigned client_count;
  in_addr_t blocked[BLOCKED_MAX];
  unsigned blocked_count;
};

typedef struct
{
  Standin *standin;
  UdpRule *udp[RULES_MAX];
  unsigned udp_count;
  TcpPipe *tcp[RULES_MAX];
  unsigned tcp_count;
} Proxy;

static bool
is_blocked (const UdpRule *rule, in_addr_t ip)
{
  for (unsigned i = 0; i < rule->blocked_count; i++)
    if (rule->blocked[i] == ip)
      return true;
  return false;
}

static void
on_upstream (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags, void *data)
{
  (void)ev;
  (void)event;
  (void)flags;
  UdpClient *client = data;
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  struct sockaddr_in from;
  ssize_t size = net_receive (client->fd, bytes, sizeof bytes, &from, NULL);
  if (size >= 0 && !is_blocked (client->rule, client->address.sin_addr.s_addr))
    link_send (&client->rule->down, client->rule->fd, bytes, (size_t)size, &client->address, NULL);
}

static UdpClient *
find_or_add_client (UdpRule *rule, const struct sockaddr_in *from)
{
  for (unsigned i = 0; i < rule->client_count; i++)
    if (rule->clients[i]->address.sin_port == from->sin_port &&
        rule->clients[i]->address.sin_addr.s_addr == from->sin_addr.s_addr)
      return rule->clients[i];
  if (rule->client_count == CLIENTS_MAX)
    standin_fail ("clients", "use at most 256 senders through one rule");
  UdpClient *client = talloc_zero (rule, UdpClient);
  struct sockaddr_in any = net_any (0);
  client->rule = rule;
  client->address = *from;
  client->fd = net_udp_socket (&any);
  tevent_add_fd (rule->standin->ev, client, client->fd, TEVENT_FD_READ, on_upstream, client);
  rule->clients[rule->client_count++] = client;
  return client;
}

static void
on_client (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags, void *data)
{
  (void)ev;
  (void)event;
  (void)flags;
  UdpRule *rule = data;
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  struct sockaddr_in from;
  ssize_t size = net_receive (rule->fd, bytes, sizeof bytes, &from, NULL);
  if (size >= 0 && !is_blocked (rule, from.sin_addr.s_addr))
    link_send (&rule->up, find_or_add_client (rule, &from)->fd, bytes, (size_t)size,
               &rule->upstream, &from.sin_addr);
}

/* Splits "NAME=LISTEN=UPSTREAM" in place. */
static void
split_rule (char *text, char *parts[3])
{
  for (int i = 0; i < 3; i++)
    if ((parts[i] = strsep (&text, "=")) == NULL)
      standin_fail ("rule", "write NAME=LISTEN=UPSTREAM");
}

static void
add_udp_rule (Proxy *proxy, char *text)
{
  char *parts[3];
  split_rule (text, parts);
  struct sockaddr_in listen = net_address (parts[1]);
  UdpRule *rule = talloc_zero (proxy, UdpRule);
  rule->standin = proxy->standin;
  snprintf (rule->name, sizeof rule->name, "%s", parts[0]);
  rule->upstream = net_address (parts[2]);
  rule->fd = net_udp_socket (&listen);
  rule->up = rule->down = (Link){ .standin = proxy->standin, .reorder_us = 20 * KQ_MS };
  tevent_add_fd (proxy->standin->ev, rule, rule->fd, TEVENT_FD_READ, on_client, rule);
  proxy->udp[proxy->udp_count++] = rule;
}

static void
add_tcp_rule (Proxy *proxy, char *text)
{
  char *parts[3];
  split_rule (text, parts);
  struct sockaddr_in listen = net_address (parts[1]);
  struct sockaddr_in upstream = net_address (parts[2]);
  proxy->tcp[proxy->tcp_count++] = tcp_pipe_new (proxy->standin, parts[0], &listen, &upstream);
}

static bool
apply_udp_fault (UdpRule *rule, char **words, unsigned count)
{
  if (count == 3 && strcmp (words[1], "block") == 0 && rule->blocked_count < BLOCKED_MAX)
    {
      rule->blocked[rule->blocked_count++] = net_ip (words[2]).s_addr;
      return true;
    }
  if (count == 3 && strcmp (words[1], "unblock") == 0)
    {
      unsigned remaining = 0;
      for (unsigned i = 0; i < rule->blocked_count; i++)
        if (rule->blocked[i] != net_ip (words[2]).s_addr)
          rule->blocked[remaining++] = rule->blocked[i];
      rule->blocked_count = remaining;
      return true;
    }
  if (count != 4)
    return false;
  double value = strtod (words[3], NULL);
  bool recognized = true;
  if (strcmp (words[1], "down") != 0)
    recognized = link_set (&rule->up, words[2], value);
  if (strcmp (words[1], "up") != 0)
    recognized = recognized && link_set (&rule->down, words[2], value);
  return recognized;
}

static bool
apply_tcp_fault (TcpPipe *pipe, char **words, unsigned count)
{
  if (count == 2 && strcmp (words[1], "reset") == 0)
    {
      tcp_pipe_reset (pipe);
      return true;
    }
  if (count != 3)
    return false;
  long value = strtol (words[2], NULL, 10);
  if (strcmp (words[1], "hold") == 0)
    tcp_pipe_hold (pipe, value != 0);
  else if (strcmp (words[1], "refuse") == 0)
    pipe->refused = value != 0;
  else if (strcmp (words[1], "lose-answers") == 0)
    pipe->lost_answers = (unsigned)value;
  else if (strcmp (words[1], "delay") == 0)
    pipe->delay_us = value * KQ_MS;
  else
    return false;
  return true;
}

static void
on_control_line (char *line, void *data)
{
  Proxy *proxy = data;
  char *words[WORDS_MAX] = { NULL };
  unsigned count = 0;
  for (char *word; count < WORDS_MAX && (word = strsep (&line, " ")) != NULL;)
    words[count++] = word;
  bool recognized = false;
  for (unsigned i = 0; i < proxy->udp_count && count > 1; i++)
    if (strcmp (proxy->udp[i]->name, words[0]) == 0)
      recognized |= apply_udp_fault (proxy->udp[i], words, count);
  for (unsigned i = 0; i < proxy->tcp_count && count > 1; i++)
    if (strcmp (proxy->tcp[i]->name, words[0]) == 0)
      recognized |= apply_tcp_fault (proxy->tcp[i], words, count);
  if (!recognized)
    standin_fail (count > 0 ? words[0] : "empty line",
                  "send a control line listed at the top of proxy.c");
}

static json_t *
summarize (const Proxy *proxy)
{
  json_t *rules = json_object ();
  for (unsigned i = 0; i < proxy->udp_count; i++)
    {
      const UdpRule *rule = proxy->udp[i];
      json_object_set_new (rules, rule->name,
                           json_pack ("{s:I,s:I}", "passed",
                                      (json_int_t)rule->up.passed + (json_int_t)rule->down.passed,
                                      "lost",
                                      (json_int_t)rule->up.lost + (json_int_t)rule->down.lost));
    }
  for (unsigned i = 0; i < proxy->tcp_count; i++)
    json_object_set_new (rules, proxy->tcp[i]->name,
                         json_pack ("{s:I,s:I}", "connections",
                                    (json_int_t)proxy->tcp[i]->connections, "answers_lost",
                                    (json_int_t)proxy->tcp[i]->answers_lost));
  return rules;
}

int
main (int argc, const char **argv)
{
  static char *rule = NULL;
  static char *summary = NULL;
  int seed = 1;
  int seconds = 120;
  struct poptOption options[] = {
    { "udp", 0, POPT_ARG_STRING, &rule, 'u', "forward UDP; repeatable", "NAME=LISTEN=UPSTREAM" },
    { "tcp", 0, POPT_ARG_STRING, &rule, 't', "forward TCP; repeatable", "NAME=LISTEN=UPSTREAM" },
    { "seed", 0, POPT_ARG_INT, &seed, 0, "seed of the faults", "N" },
    { "seconds", 0, POPT_ARG_INT, &seconds, 0, "run time limit", "S" },
    { "summary", 0, POPT_ARG_STRING, &summary, 0, "write the summary to this file", "FILE" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  Proxy *proxy = talloc_zero (NULL, Proxy);
  static char *rules[RULES_MAX];
  int option_codes[RULES_MAX];
  unsigned count = 0;
  int option;
  poptContext context = poptGetContext (NULL, argc, argv, options, 0);
  while ((option = poptGetNextOpt (context)) > 0 && count < RULES_MAX)
    {
      option_codes[count] = option;
      rules[count++] = rule;
    }
  if (option < -1)
    standin_fail (poptBadOption (context, 0), poptStrerror (option));
  proxy->standin = standin_new ((uint64_t)seed, seconds);
  for (unsigned i = 0; i < count; i++)
    (option_codes[i] == 'u' ? add_udp_rule : add_tcp_rule) (proxy, rules[i]);
  standin_lines (proxy->standin, on_control_line, proxy);
  standin_ready ("proxy");
  standin_run (proxy->standin);
  int status = standin_summary (summarize (proxy), summary);
  talloc_free (proxy->standin);
  talloc_free (proxy);
  poptFreeContext (context);
  return status;
}
