import type { SingletonRole } from '@pewterlanding/agent';

interface ClaimRoleCommand {
  readonly kind: 'claimRole';
  readonly singletonRole: string;
  readonly claim: SingletonRole;
}

/** Proposes a claim to the configuration shard under an id that makes a retry harmless; brings the holder as committed. */
export type ClaimRole = (id: string, command: ClaimRoleCommand) => Promise<{ readonly singletonRole?: SingletonRole | undefined }>;
