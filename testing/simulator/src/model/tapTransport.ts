import * as v from 'valibot';
import { consensusCalls } from '@pewterlanding/consensus';
import type { Transport } from '@pewterlanding/runtime';

const FromLeader = v.object({ term: v.number(), leader: v.object({ memberId: v.string() }) });
const leaderCalls: readonly string[] = [consensusCalls.append.name, consensusCalls.installSnapshot.name];

/** A wire that tells what its process sends as a leader, and under which term. */
export function tapTransport(transport: Transport, led: (term: number, memberId: string) => void): Transport {
  return {
    here: transport.here,
    serve: (call, handle) => transport.serve(call, handle),
    tell: (to, call, body) => transport.tell(to, call, body),
    ask: (to, call, body, waitMs) => {
      const read = leaderCalls.includes(call.name) ? v.safeParse(FromLeader, body) : undefined;
      if (read?.success === true) led(read.output.term, read.output.leader.memberId);
      return transport.ask(to, call, body, waitMs);
    },
  };
}
