/** How one field of an older format reads in the newer one. */
interface FieldRenaming {
  /** The field's new name; left out, the name stays. */
  readonly to?: string;
  /** Fields of the value, or of each element where the value is an array. */
  readonly fields?: FieldRenamings;
  /** The value is a record by free keys; the renamings apply to each of its values. */
  readonly record?: boolean;
  /** New spellings of the value itself, where it is one of these texts. */
  readonly values?: Readonly<Record<string, string>>;
}

/** Old field name to new name, or to how the field reads. */
export interface FieldRenamings {
  readonly [field: string]: string | FieldRenaming;
}
