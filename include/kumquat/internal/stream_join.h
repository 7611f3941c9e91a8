/* Reads the stored directory of members while this process has no live member, for processes that
 * do not use the store otherwise. Balancers read it with stream_directory.c. */
#pragma once

#include "kumquat/control.h"
#include "kumquat/store.h"

typedef struct KqStreamJoin KqStreamJoin;

/**
 * kq_stream_join_new - starts to watch whether this process is alone
 * @store: (borrowed): must outlive the result, as must @control
 *
 * Return: (owned by @parent) the reader, or NULL with @error set.
 */
KqStreamJoin *kq_stream_join_new (const void *parent, struct tevent_context *ev, KqStore *store,
                                  KqControl *control, KqError *error);

/** kq_stream_join_members_changed - to be called when the members have changed */
void kq_stream_join_members_changed (KqStreamJoin *join);
