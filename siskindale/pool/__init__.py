"""The pool: admits and routes requests over shared connections and acknowledges results."""
