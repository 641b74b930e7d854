/** What an operator asks of the configuration register. */
export type RegisterOrder =
  | { readonly kind: 'read' }
  | {
      readonly kind: 'replace';
      readonly basedOn: number;
      readonly revision: number;
      /** What is written; also tells this order from another under the same number. */
      readonly token: string;
      /** Whether the document can be put in force at all. */
      readonly valid: boolean;
    }
  | {
      readonly kind: 'amend';
      readonly basedOn: number;
      readonly revision: number;
      readonly token: string;
      readonly put: readonly string[];
      readonly drop: readonly string[];
    };
