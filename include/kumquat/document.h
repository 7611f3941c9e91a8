/* Configuration documents as they are disseminated, and the progress of their dissemination. */
#pragma once

#include "kumquat/types.h"

#define KQ_DOCUMENT_BYTES                                                                          \
  4194304 /* largest configuration document: 14,000 addresses take 2.6 MB                          \
           */
#define KQ_LAGGARDS_MAX 16

/**
 * struct KqDocument - one service's configuration document as it is stored and disseminated
 * @service: the service's number
 * @revision: its version
 * @bytes: (array): the JSON text
 * @size: bytes at @bytes
 */
typedef struct
{
  uint32_t service;
  KqRevision revision;
  const uint8_t *bytes;
  size_t size;
} KqDocument;

/**
 * struct KqDocumentStatus - progress of the dissemination of one document, counted from
 * acknowledgements
 * @revision: the newest revision known to this instance
 * @balancers: live balancers
 * @balancers_in_force: those that acknowledged @revision
 * @agents: live agents of the service
 * @agents_in_force: those that acknowledged @revision
 * @laggards: (array): names of some instances that have not acknowledged it
 * @laggard_count: length of @laggards
 */
typedef struct
{
  KqRevision revision;
  unsigned balancers;
  unsigned balancers_in_force;
  unsigned agents;
  unsigned agents_in_force;
  char laggards[KQ_LAGGARDS_MAX][KQ_NAME_BYTES];
  unsigned laggard_count;
} KqDocumentStatus;
