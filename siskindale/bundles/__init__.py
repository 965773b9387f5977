"""Signs, rolls out, follows and audits bundles."""
