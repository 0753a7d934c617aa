"""What an entry VM knows of the others and of the backend servers."""
