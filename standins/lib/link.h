/* One direction of a simulated faulty link: loses, duplicates, delays and reorders datagrams, with
 * seeded random numbers. */
#pragma once

#include <netinet/in.h>

#include "standin.h"

/**
 * struct Link - faults of one direction
 * @standin: event loop and random numbers
 * @loss: probability that a datagram is lost
 * @duplicate: probability that a datagram is sent twice
 * @reorder: probability that a datagram is delayed by up to @reorder_us in addition
 * @reorder_us: maximum additional delay
 * @delay_us: delay of every datagram
 * @cut: all datagrams are lost
 * @passed: datagrams forwarded
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

/** link_send - sends a datagram as net_send() does, with the faults applied */
void link_send (Link *link, int fd, const uint8_t *bytes, size_t size, const struct sockaddr_in *to,
                const struct in_addr *source);

/** link_set - sets a fault by name: loss, duplicate, reorder (0 to 1), delay (ms), cut (0/1)
 *
 * Return: whether the name is valid.
 */
bool link_set (Link *link, const char *name, double value);
