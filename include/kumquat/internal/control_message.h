/* Encoding of the control plane's datagrams and bulk messages, without the message authentication
 * code. */
#pragma once

#include "kumquat/codec.h"
#include "kumquat/internal/members.h"

#define KQ_CONTROL_VERSION        1
#define KQ_CONTROL_DATAGRAM_BYTES 1200 /* fits into one Ethernet frame with its headers */

/**
 * enum KqControlType - type of a datagram or bulk message
 * @KQ_CONTROL_PING: asks @to to acknowledge @sequence
 * @KQ_CONTROL_PING_REQ: asks @to to probe @about at @address on behalf of the sender
 * @KQ_CONTROL_ACK: acknowledges @sequence for @about
 * @KQ_CONTROL_GOSSIP: carries only items
 * @KQ_CONTROL_HOLDERS: which instances hold which revision; aggregated on the way to the root
 * @KQ_CONTROL_HOLDERS_OK: acknowledges the holders message @sequence
 * @KQ_CONTROL_QUERY: asks the root of a service which instances hold its document
 * @KQ_CONTROL_SUMMARY: answers a query
 * @KQ_CONTROL_SYNC: bulk request: digests of the sender's tables
 * @KQ_CONTROL_ITEMS: bulk answer: items of the ranges that differ
 * @KQ_CONTROL_PULL: bulk request for documents
 * @KQ_CONTROL_DOCUMENTS: bulk answer: documents
 * @KQ_CONTROL_INTRODUCTION: a joining member's own item; answered by gossip with some members
 * @KQ_CONTROL_MANIFEST: bulk answer: the sizes and the digest of a document in pages
 * @KQ_CONTROL_PULL_PAGES: bulk request for pages of a document
 * @KQ_CONTROL_PAGES: bulk answer: pages, none if the sender has none of them
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
  KQ_CONTROL_MANIFEST,
  KQ_CONTROL_PULL_PAGES,
  KQ_CONTROL_PAGES,
  KQ_CONTROL_TYPES
} KqControlType;

/**
 * struct KqControlHeader - header of every datagram and bulk message
 * @type: type of the message
 * @sequence: matches an answer to its request
 * @from: id of the sender
 * @reply: control address of the sender
 * @to: id of the intended receiver; 0 if the sender knows only its address
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
 * struct KqItem - a change carried by a datagram or bulk message
 * @kind: determines which of the fields are used
 * @claim: member and state items
 * @service: document items: the service's number
 * @revision: document items: the newest known revision
 * @source: document items: an instance that holds this revision; state items: the instance that
 *   reported the state
 * @domain: domain items: hash of the failure domain's name
 * @event: domain items: number of the event; odd if the domain is lost, even if it is back
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

/** kq_control_read_header - Return: 0, or -1 if the header is malformed or of another version */
int kq_control_read_header (KqReader *reader, KqControlHeader *header);

/** kq_control_write_item - Return: whether the item fitted; if not, the writer is unchanged */
bool kq_control_write_item (KqWriter *writer, const KqItem *item);

/** kq_control_read_item - Return: 0, or -1 if the item is malformed */
int kq_control_read_item (KqReader *reader, KqItem *item);
