import type { SingletonRole } from '@pewterlanding/agent';
import { replyAsLeader } from '@pewterlanding/consensus';
import type { Transport } from '@pewterlanding/runtime';
import { controllerCalls } from '../controllerCalls.js';
import type { ClaimRole } from './claimRole.js';
import type { RoleLeaseGrantor } from './roleLeaseGrantor.js';
import type { RoleLeaseHolder } from './roleLeaseHolder.js';
import type { RoleState } from './roleState.js';

interface RoleLeasesOptions {
  /** The role whose offers and handovers this node takes. */
  readonly role: string;
  readonly transport: Transport;
  readonly holder: RoleLeaseHolder;
  readonly grantor: RoleLeaseGrantor;
  readonly machine: RoleState;
  /** Rejects on any node but the leader of the configuration shard. */
  readonly confirmed: () => Promise<void>;
  readonly propose: ClaimRole;
}

/** Serves the calls of role leases: offers and handovers to this node, and, on the configuration shard's leader, claims and renewals. */
export function serveRoleLeases(options: RoleLeasesOptions): void {
  const { role, transport, holder, grantor, machine, confirmed } = options;
  transport.serve(controllerCalls.offerRole, async (offer) => ({
    taken: offer.role === role && (await holder.acceptOffer(offer.term)),
  }));
  transport.serve(controllerCalls.handRole, async (handover) => ({
    taken: handover.role === role && (await holder.acceptHandover(handover)),
  }));
  transport.serve(controllerCalls.claimRole, ({ role: claimed, claim }) => replyAsLeader(() => grantClaim(options, claimed, claim)));
  transport.serve(controllerCalls.renewRole, ({ role: renewed, term, release }) =>
    replyAsLeader(async () => {
      await confirmed();
      const held = machine.singletonRoles[renewed]?.term === term;
      if (held && release) grantor.recordRelease(renewed);
      else if (held) grantor.recordRenewal(renewed);
      return { held };
    }),
  );
}

/** Brings the committed holder; nothing where the claim was already committed. */
async function grantClaim(
  { grantor, machine, confirmed, propose }: RoleLeasesOptions,
  role: string,
  claim: SingletonRole,
): Promise<{ held?: SingletonRole | undefined }> {
  await confirmed();
  const held = machine.singletonRoles[role];
  // A retried claim must not renew the lease: its sender may never have received the first reply.
  if (held?.holder === claim.holder && held.term === claim.term) return {};
  if (!grantor.mayGrant(role, held, claim.holder)) return { held };
  // The id is stored in the log: it keeps the word of format 1.
  const committed = await propose(`duty/${role}/${claim.term}/${claim.holder}`, { kind: 'claimRole', singletonRole: role, claim });
  grantor.recordRenewal(role);
  return { held: committed.singletonRole };
}
