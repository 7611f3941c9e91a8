/* One direction of a faulty network link: loses, repeats, delays and holds datagrams by seed. */
#pragma once

#include <netinet/in.h>

#include "standin.h"

/**
 * struct Link - faults of one direction
 * @standin: the process
 * @loss: probability that a datagram is lost
 * @duplicate: probability that it is sent twice
 * @reorder: probability that it is delayed by up to @reorder_us more than the others
 * @reorder_us: greatest extra delay
 * @delay_us: delay of every datagram
 * @cut: everything is lost
 * @passed: datagrams sent on
 * @lost: datagrams lost
 */
typedef struct
{
  Standin *standin;
  double loss;
  double duplicate;
  double reorder;
  KqTime reorder_us;
  KqTime delay_us;
  bool cut;
  uint64_t passed;
  uint64_t lost;
} Link;

/** link_send - sends a datagram through the faults, see net_send() */
void link_send (Link *link, int fd, const uint8_t *bytes, size_t size, const struct sockaddr_in *to,
                const struct in_addr *source);

/** link_set - sets one fault by its name: loss, duplicate, reorder (0 to 1), delay (ms), cut (0/1)
 *
 * Return: whether the name is known.
 */
bool link_set (Link *link, const char *name, double value);
