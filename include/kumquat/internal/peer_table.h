/* Interns agents, so that a flow entry refers to its owner with four bytes. */
#pragma once

#include "kumquat/types.h"

typedef struct KqPeerTable KqPeerTable;

/** kq_peer_table_new - Return: (owned by @parent) an empty table, or NULL without memory */
KqPeerTable *kq_peer_table_new (const void *parent);

/** kq_peer_table_acquire - takes a reference; Return: the number of @peer, or -1 without memory */
int kq_peer_table_acquire (KqPeerTable *table, const KqPeer *peer);

/** kq_peer_table_release - drops a reference; an agent without references is removed */
void kq_peer_table_release (KqPeerTable *table, unsigned number);

/** kq_peer_table_get - Return: (borrowed) the agent, valid until the next change of the table */
const KqPeer *kq_peer_table_get (const KqPeerTable *table, unsigned number);

/** kq_peer_table_bytes - Return: bytes allocated */
size_t kq_peer_table_bytes (const KqPeerTable *table);

/**
 * kq_peer_equal - Return: whether both are the same incarnation of one agent at the same address
 */
bool kq_peer_equal (const KqPeer *a, const KqPeer *b);
