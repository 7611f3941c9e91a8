/* Datagrams and bulk messages of the control plane, without their message authentication code. */
#pragma once

#include "kumquat/codec.h"
#include "kumquat/internal/members.h"

#define KQ_CONTROL_VERSION        1
#define KQ_CONTROL_DATAGRAM_BYTES 1200 /* fits one frame with its headers */

/**
 * enum KqControlType - what a datagram or bulk message is
 * @KQ_CONTROL_PING: asks @to to acknowledge @sequence
 * @KQ_CONTROL_PING_REQ: asks @to to probe @about at @address on behalf of the sender
 * @KQ_CONTROL_ACK: acknowledges @sequence for @about
 * @KQ_CONTROL_GOSSIP: only carries items
 * @KQ_CONTROL_HOLDERS: who holds which revision; counted up
 * @KQ_CONTROL_HOLDERS_OK: acknowledges the holders message @sequence
 * @KQ_CONTROL_QUERY: asks the root of a service who holds its document
 * @KQ_CONTROL_SUMMARY: answers a query
 * @KQ_CONTROL_SYNC: bulk: digests of the sender's tables
 * @KQ_CONTROL_ITEMS: bulk: items of ranges that differ
 * @KQ_CONTROL_PULL: bulk: asks for documents
 * @KQ_CONTROL_DOCUMENTS: bulk: documents
 * @KQ_CONTROL_INTRODUCTION: a newcomer's own item; answered by gossip with some members
 */
typedef enum
{
  KQ_CONTROL_PING = 1,
  KQ_CONTROL_PING_REQ,
  KQ_CONTROL_ACK,
  KQ_CONTROL_GOSSIP,
  KQ_CONTROL_HOLDERS,
  KQ_CONTROL_HOLDERS_OK,
  KQ_CONTROL_QUERY,
  KQ_CONTROL_SUMMARY,
  KQ_CONTROL_SYNC,
  KQ_CONTROL_ITEMS,
  KQ_CONTROL_PULL,
  KQ_CONTROL_DOCUMENTS,
  KQ_CONTROL_INTRODUCTION,
  KQ_CONTROL_TYPES
} KqControlType;

/**
 * struct KqControlHeader - head of every datagram and bulk message
 * @type: what it is
 * @sequence: matches an answer to its question
 * @from: id of the sender
 * @reply: control address of the sender
 * @to: id of the instance that is meant; 0 when the sender knows only an address
 * @about: id of the member that a probe is about
 * @address: control address of that member
 */
typedef struct
{
  KqControlType type;
  uint64_t sequence;
  uint64_t from;
  KqAddress reply;
  uint64_t to;
  uint64_t about;
  KqAddress address;
} KqControlHeader;

typedef enum
{
  KQ_ITEM_MEMBER = 1,
  KQ_ITEM_STATE,
  KQ_ITEM_DOCUMENT,
  KQ_ITEM_DOMAIN
} KqItemKind;

/**
 * struct KqItem - one change on a datagram
 * @kind: which of the fields are used
 * @claim: member and state items
 * @service: document items: the service's number
 * @revision: document items: its newest revision
 * @source: document items: an instance that holds it; state items: the instance that says so
 * @domain: domain items: hash of the failure domain's name
 * @event: domain items: number of the event; an odd one says lost, an even one says back
 */
typedef struct
{
  KqItemKind kind;
  KqClaim claim;
  uint32_t service;
  KqRevision revision;
  uint64_t source;
  uint64_t domain;
  uint64_t event;
} KqItem;

void kq_control_write_header (KqWriter *writer, const KqControlHeader *header);

/** kq_control_read_header - Return: 0, or -1 when it is malformed or of another version */
int kq_control_read_header (KqReader *reader, KqControlHeader *header);

/** kq_control_write_item - Return: whether it fitted; the writer is unchanged when it did not */
bool kq_control_write_item (KqWriter *writer, const KqItem *item);

/** kq_control_read_item - Return: 0, or -1 when it is malformed */
int kq_control_read_item (KqReader *reader, KqItem *item);
