/* How the evacuated failure domains reach a process: from the store, and from peers. */
#pragma once

#include "kumquat/control.h"
#include "kumquat/internal/evacuation.h"
#include "kumquat/store.h"

/** kq_stream_evacuation_read - applies what a watch delivered: all keys, or the changed ones; those
 * that start with @prefix name evacuated domains. Return: whether the set changed */
bool kq_stream_evacuation_read (KqEvacuation *evacuation, const char *prefix,
                                const KqStoreReply *reply, KqTime now);

/** kq_stream_evacuation_read_stale - like kq_stream_evacuation_read(), for a read of all keys that
 * may be seconds old: it adds domains and takes none back */
bool kq_stream_evacuation_read_stale (KqEvacuation *evacuation, const char *prefix,
                                      const KqStoreReply *reply, KqTime now);

/** kq_stream_evacuation_receive - applies a document that a peer has disseminated. Return: whether
 * the set changed */
bool kq_stream_evacuation_receive (KqEvacuation *evacuation, const KqDocument *document,
                                   KqTime now);

/** kq_stream_evacuation_disseminate - gives the set to all instances */
void kq_stream_evacuation_disseminate (const KqEvacuation *evacuation, KqControl *control);

/** kq_stream_evacuation_log - logs the evacuated domains; @source says where they were learnt */
void kq_stream_evacuation_log (const KqEvacuation *evacuation, const char *source);
