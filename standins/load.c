/* Closed-loop load generator: many flows from one socket, with a fixed number of requests in
 * flight.
 *
 * Flow i sends from 127.64.0.1 + i. Every request is a CoAP GET whose token holds its slot of the
 * window and its serial number, by which the answer is matched to the time it was sent. With --warm
 * every flow sends one request before the measurement starts. */
#include <arpa/inet.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/coap_message.h"
#include "net.h"
#include "standin.h"

#define WINDOW_MAX           4096
#define FIRST_SOURCE_ADDRESS 0x7f400001u /* 127.64.0.1 */
#define REQUEST_TIMEOUT_US   (500 * KQ_MS)
#define ROUND_TRIPS_MAX      4000000
#define RECEIVE_BATCH        64

/**
 * struct Slot - one slot of the window of requests in flight
 * @serial: serial number of the request in flight, or 0 if the slot is free
 */
typedef struct
{
  uint32_t serial;
  KqTime sent;
} WindowSlot;

typedef struct
{
  Standin *standin;
  int fd;
  struct sockaddr_in to;
  const char *service;
  unsigned flows;
  unsigned window;
  unsigned next_flow;
  uint32_t serial;
  bool warming_up;
  unsigned warmed_slots;
  WindowSlot slots[WINDOW_MAX];
  KqTime measurement_start;
  KqTime measurement_us;
  uint64_t answered;
  uint64_t lost;
  uint32_t *round_trips_us;
  unsigned round_trip_count;
} Load;

static void
send_request (Load *load, unsigned slot, KqTime now)
{
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  unsigned flow = load->warming_up
                      ? load->next_flow++
                      : (unsigned)kq_random_below (&load->standin->random, load->flows);
  KqCoapMessage message = { .type = KQ_COAP_NON,
                            .code = KQ_COAP_GET,
                            .message_id = (uint16_t)load->serial,
                            .token_size = KQ_COAP_TOKEN_BYTES };
  load->slots[slot] = (WindowSlot){ ++load->serial, now };
  uint32_t token[2] = { htonl (slot), htonl (load->serial) };
  memcpy (message.token, token, sizeof token);
  snprintf (message.path, sizeof message.path, "availability");
  snprintf (message.query, sizeof message.query, "s=%s&f=load%u&n=%u", load->service, flow,
            load->serial);
  int size = kq_coap_message_format (&message, bytes, sizeof bytes);
  struct in_addr source = { htonl (FIRST_SOURCE_ADDRESS + flow) };
  net_send (load->fd, bytes, (size_t)size, &load->to, &source);
}

static void
start_measurement (Load *load, KqTime now)
{
  load->warming_up = false;
  load->measurement_start = now;
  load->answered = 0;
  load->lost = 0;
  load->round_trip_count = 0;
}

static void
refill_slot (Load *load, unsigned slot, KqTime now)
{
  load->slots[slot].serial = 0;
  if (load->warming_up && load->next_flow == load->flows)
    {
      if (++load->warmed_slots < load->window)
        return;
      start_measurement (load, now);
      for (unsigned i = 0; i < load->window; i++)
        send_request (load, i, now);
      return;
    }
  send_request (load, slot, now);
}

static void
handle_answer (Load *load, const uint8_t *bytes, size_t size, KqTime now)
{
  KqCoapMessage message;
  uint32_t token[2];
  if (kq_coap_message_parse (bytes, size, &message, NULL) != 0 ||
      message.token_size != sizeof token)
    return;
  memcpy (token, message.token, sizeof token);
  uint32_t slot = ntohl (token[0]);
  if (slot >= load->window || load->slots[slot].serial != ntohl (token[1]))
    return;
  load->answered++;
  if (load->round_trip_count < ROUND_TRIPS_MAX)
    load->round_trips_us[load->round_trip_count++] = (uint32_t)(now - load->slots[slot].sent);
  refill_slot (load, slot, now);
}

static void
on_answer (struct tevent_context *ev, struct tevent_fd *event, uint16_t flags, void *data)
{
  (void)ev;
  (void)event;
  (void)flags;
  Load *load = data;
  uint8_t bytes[KQ_DATAGRAM_BYTES];
  struct sockaddr_in from;
  ssize_t size;
  for (int i = 0;
       i < RECEIVE_BATCH && (size = net_receive (load->fd, bytes, sizeof bytes, &from, NULL)) >= 0;
       i++)
    handle_answer (load, bytes, (size_t)size, standin_now ());
}

static void
on_tick (KqTime now, void *data)
{
  Load *load = data;
  if (!load->warming_up && now - load->measurement_start >= load->measurement_us)
    {
      load->standin->ended = true;
      return;
    }
  for (unsigned i = 0; i < load->window; i++)
    if (load->slots[i].serial != 0 && now - load->slots[i].sent > REQUEST_TIMEOUT_US)
      {
        load->lost++;
        refill_slot (load, i, now);
      }
}

static int
compare_round_trips (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;
  return (x > y) - (x < y);
}

static json_int_t
percentile (const Load *load, double quantile)
{
  return load->round_trip_count == 0
             ? 0
             : load->round_trips_us[(unsigned)(quantile * (load->round_trip_count - 1))];
}

static json_t *
summarize (Load *load)
{
  double seconds = (double)(standin_now () - load->measurement_start) / KQ_SECOND;
  qsort (load->round_trips_us, load->round_trip_count, sizeof *load->round_trips_us,
         compare_round_trips);
  return json_pack ("{s:I,s:I,s:I,s:f,s:I,s:I,s:I}", "flows", (json_int_t)load->flows, "answered",
                    (json_int_t)load->answered, "lost", (json_int_t)load->lost, "per_second",
                    (double)load->answered / seconds, "p50_us", percentile (load, 0.5), "p90_us",
                    percentile (load, 0.9), "p99_us", percentile (load, 0.99));
}

int
main (int argc, const char **argv)
{
  static char *to = NULL;
  static char *service = "utleie";
  static char *summary = NULL;
  int flows = 1;
  int window = 1;
  int seconds = 2;
  int warm = 0;
  int port = 0;
  int seed = 1;
  struct poptOption options[] = {
    { "to", 0, POPT_ARG_STRING, &to, 0, "destination of the requests", "IP:PORT" },
    { "service", 0, POPT_ARG_STRING, &service, 0, "service named in the requests", "NAME" },
    { "flows", 0, POPT_ARG_INT, &flows, 0, "number of flows", "N" },
    { "window", 0, POPT_ARG_INT, &window, 0, "requests in flight", "N" },
    { "seconds", 0, POPT_ARG_INT, &seconds, 0, "duration of the measurement", "S" },
    { "warm", 0, POPT_ARG_NONE, &warm, 0, "use every flow once beforehand", NULL },
    { "port", 0, POPT_ARG_INT, &port, 0, "source port of all flows; 0: any", "PORT" },
    { "seed", 0, POPT_ARG_INT, &seed, 0, "seed of the flow selection", "N" },
    { "summary", 0, POPT_ARG_STRING, &summary, 0, "write the summary to this file", "FILE" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext (NULL, argc, argv, options, 0);
  if (poptGetNextOpt (context) < -1 || to == NULL || flows < 1 || window < 1 || window > WINDOW_MAX)
    standin_fail ("options", "give --to, at least 1 flow and a window up to 4096, see --help");
  Load *load = talloc_zero (NULL, Load);
  struct sockaddr_in any = net_any ((uint16_t)port);
  load->standin = standin_new ((uint64_t)seed, seconds + 100);
  load->fd = net_udp_socket (&any);
  load->to = net_address (to);
  load->service = service;
  load->flows = (unsigned)flows;
  load->window = (unsigned)(window < flows || !warm ? window : flows);
  load->warming_up = warm != 0;
  load->measurement_us = seconds * KQ_SECOND;
  load->round_trips_us = talloc_array (load, uint32_t, ROUND_TRIPS_MAX);
  load->measurement_start = standin_now ();
  tevent_add_fd (load->standin->ev, load->standin, load->fd, TEVENT_FD_READ, on_answer, load);
  standin_tick (load->standin, 20 * KQ_MS, on_tick, load);
  for (unsigned i = 0; i < load->window; i++)
    send_request (load, i, standin_now ());
  standin_run (load->standin);
  int status = standin_summary (summarize (load), summary);
  talloc_free (load);
  poptFreeContext (context);
  return status;
}
